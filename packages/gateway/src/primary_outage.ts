/**
 * Estimates when a lost primary is back, so that a statement that can't wait
 * that long is refused at once, with a time to retry.
 *
 * This matters when a primary fails under load and every caller's statement
 * needs it: a statement that waits until its timeout occupies its session and
 * uses up one of the caller's few retries.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Whether a group has a usable primary, and if not, why. */
export type PrimaryState = 'present' | 'leaving' | 'lost';

/** Estimates how long an outage lasts from the durations of earlier ones. */
export interface PrimaryOutageEstimator {
  /** Records whether the group has a primary that accepts statements. */
  recordState(group: string, state: PrimaryState, now: Milliseconds): void;
  /**
   * Time until the group's primary is expected back; 0 if it is present. A
   * primary that was never known, as after the start, doesn't count as lost.
   */
  expected(group: string, now: Milliseconds): Milliseconds;
}

/**
 * Estimates of an outage's duration before any outage has ended. A lost primary
 * must first be detected, while a planned change starts at once. Too long an
 * estimate refuses statements that could have waited.
 */
const INITIAL_ESTIMATES_MS = {lost: 1000, leaving: 300} as const;
/**
 * Weight of the newest outage in the estimate; the platform's promotion time
 * varies little.
 */
const NEWEST_OUTAGE_WEIGHT = 0.5;
/**
 * Longest outage that changes the estimate. A longer one indicates a network
 * partition or a failure of the platform, not a change of primary.
 */
const MAXIMUM_FAILOVER_MS: Milliseconds = 3000;
/**
 * Lower limit of the remaining time: an outage that lasts longer than estimated
 * may end at any time.
 */
const MINIMUM_ESTIMATE_MS: Milliseconds = 100;

interface PrimaryOutage {
  /** State when the outage began: a leaving primary soon counts as lost. */
  readonly cause: Exclude<PrimaryState, 'present'>;
  readonly since: Milliseconds;
}

/** Creates an estimator with no known primary and the initial estimates. */
export function createPrimaryOutageEstimator(): PrimaryOutageEstimator {
  const hadPrimary = new Set<string>();
  const outages = new Map<string, PrimaryOutage>();
  const estimates: Record<PrimaryOutage['cause'], Milliseconds> = {
    ...INITIAL_ESTIMATES_MS,
  };

  function recordReturn(group: string, now: Milliseconds): void {
    const outage = outages.get(group);
    hadPrimary.add(group);
    outages.delete(group);
    if (outage !== undefined && now - outage.since <= MAXIMUM_FAILOVER_MS) {
      const {cause, since} = outage;
      estimates[cause] +=
        NEWEST_OUTAGE_WEIGHT * (now - since - estimates[cause]);
    }
  }

  return {
    recordState(group, state, now) {
      if (state === 'present') {
        recordReturn(group, now);
      } else if (hadPrimary.has(group) && !outages.has(group)) {
        outages.set(group, {cause: state, since: now});
      }
    },
    expected(group, now) {
      const outage = outages.get(group);
      if (outage === undefined) {
        return 0;
      }
      const end = outage.since + estimates[outage.cause];
      return Math.max(MINIMUM_ESTIMATE_MS, end - now);
    },
  };
}
