/**
 * Probe intervals of groups that a proxy monitors but does not use. A target's
 * status stream reports each record and ten heartbeats per second. Requests
 * need this, but for the thousands of groups of a large system it is too much.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Intervals between status probes of the primary and of each replica. */
export interface ProbeIntervals {
  readonly primary: Milliseconds;
  readonly replica: Milliseconds;
}

/**
 * Chooses the intervals by the number of groups in the manifest and the rank
 * of the failure detector. `undefined` selects status streams.
 */
export type ProbeIntervalPolicy = (
  groupCount: number,
  rank: number,
) => ProbeIntervals | undefined;

/** Largest number of groups for which status streams are used. */
const STREAMED_GROUP_COUNT = 64;
/** Smallest number of groups for which the intervals are longest. */
const LONGEST_INTERVALS_GROUP_COUNT = 2048;
/**
 * Chosen because a primary outage must end within 6 s. After an unanswered
 * probe it takes 0.5 s to establish the outage, and a promotion takes another
 * 0.5 s. The limit also holds for the next rank if the first failure detector
 * is lost with the primary.
 */
const LONGEST_FIRST_RANK: ProbeIntervals = {primary: 2500, replica: 4000};
const LONGEST_OTHER_RANKS: ProbeIntervals = {primary: 4000, replica: 20_000};
const SHORTEST_INTERVAL_MS: Milliseconds = 250;

/**
 * Returns intervals in proportion to the number of groups, within limits;
 * `undefined` for up to 64 groups.
 */
export function proportionalProbeIntervals(
  groupCount: number,
  rank: number,
): ProbeIntervals | undefined {
  if (groupCount <= STREAMED_GROUP_COUNT) {
    return undefined;
  }
  const share = Math.min(1, groupCount / LONGEST_INTERVALS_GROUP_COUNT);
  const longest = rank === 0 ? LONGEST_FIRST_RANK : LONGEST_OTHER_RANKS;
  return {
    primary: Math.max(SHORTEST_INTERVAL_MS, longest.primary * share),
    replica: Math.max(SHORTEST_INTERVAL_MS, longest.replica * share),
  };
}
