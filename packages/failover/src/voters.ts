/** Determines which members vote on the records of a log. */
import type {Configuration} from '@kelpstep/protocol';

/** Returns the smallest number of members that forms a majority. */
export function majorityOf(groupSize: number): number {
  return Math.floor(groupSize / 2) + 1;
}

/** The members of a configuration, whose votes form its majorities. */
export interface Voters {
  readonly size: number;
  readonly majority: number;
  includes(memberId: string): boolean;
}

/**
 * Returns the voters of a log's newest configuration, confirmed or not. If the
 * log has none, every member is a voter and the group has the given size.
 */
export function votersOf(
  {configuration}: {readonly configuration?: Configuration | undefined},
  groupSize: number,
): Voters {
  const size = configuration?.members.length ?? groupSize;
  return {
    size,
    majority: majorityOf(size),
    includes: memberId =>
      configuration === undefined ||
      configuration.members.some(({id}) => id === memberId),
  };
}
