/**
 * How often a watcher asks the members of a group that it only watches. The
 * stream of a target tells each record and ten heartbeats a second: right for
 * who uses the group, too much for the thousands of groups of a large system.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Periods of the questions to members. */
export interface WatchPace {
  readonly primary: Milliseconds;
  readonly replica: Milliseconds;
}

/**
 * Decides the pace by the number of groups in the manifest and the rank as
 * watcher. `undefined`: follow the streams, as who uses the group does.
 */
export type WatchPacePolicy = (
  groups: number,
  rank: number,
) => WatchPace | undefined;

/** Up to so many groups the streams are followed. */
const FEW_GROUPS = 64;
/** From so many groups on the periods are the longest. */
const MANY_GROUPS = 2048;
/**
 * A question that gets no answer takes half a second more to settle, and a
 * promotion as much again: the sums stay below 6 s, also for the next watcher
 * when the first is lost together with the primary.
 */
const LONGEST_FIRST: WatchPace = {primary: 2500, replica: 4000};
const LONGEST_OTHERS: WatchPace = {primary: 4000, replica: 20_000};
const SHORTEST: Milliseconds = 250;

/** Periods that grow in proportion to the groups, up to the longest. */
export function proportionalWatchPace(
  groups: number,
  rank: number,
): WatchPace | undefined {
  if (groups <= FEW_GROUPS) {
    return undefined;
  }
  const share = Math.min(1, groups / MANY_GROUPS);
  const longest = rank === 0 ? LONGEST_FIRST : LONGEST_OTHERS;
  return {
    primary: Math.max(SHORTEST, longest.primary * share),
    replica: Math.max(SHORTEST, longest.replica * share),
  };
}
