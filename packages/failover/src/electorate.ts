/** Which members count towards the majorities of a log. */
import type {Configuration} from '@kelpstep/protocol';

/** The least number of members that is a majority. */
export function majorityOf(groupSize: number): number {
  return Math.floor(groupSize / 2) + 1;
}

/** The members that count. */
export interface Electorate {
  readonly size: number;
  readonly majority: number;
  includes(memberId: string): boolean;
}

/**
 * The electorate of a log: its newest configuration, confirmed or not. A log
 * without one counts all that answer, out of a group of the given size.
 */
export function electorateOf(
  {configuration}: {readonly configuration?: Configuration | undefined},
  groupSize: number,
): Electorate {
  const size = configuration?.members.length ?? groupSize;
  return {
    size,
    majority: majorityOf(size),
    includes: memberId =>
      configuration === undefined ||
      configuration.members.some(({id}) => id === memberId),
  };
}
