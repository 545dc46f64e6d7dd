/**
 * Estimates when an outage of a group ends, so that a statement that can't wait
 * that long is refused at once, with a time to retry. Does no input or output.
 *
 * This matters when an outage meets every caller's statement: a statement that
 * waits until its timeout occupies its session and uses up one of the caller's
 * few retries.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Estimates how long an outage lasts from the durations of earlier ones. */
export interface OutageEstimator<Cause extends string> {
  /** Records whether the group is served, and if not, why. */
  recordState(group: string, state: Cause | 'present', now: Milliseconds): void;
  /**
   * Time until the group's outage is expected to end; 0 if there is none. A
   * group that was never served, as after the start, has no outage.
   */
  expected(group: string, now: Milliseconds): Milliseconds;
  /** Time since the group's outage began; 0 if there is none. */
  elapsed(group: string, now: Milliseconds): Milliseconds;
}

/** The kinds of outages and their estimates. */
export interface OutageEstimatorOptions<Cause extends string> {
  /** Estimates of an outage's duration before any outage has ended. */
  readonly initialEstimates: Readonly<Record<Cause, Milliseconds>>;
  /**
   * Remaining time of an outage that has lasted `elapsed`, which is longer than
   * estimated. By default such an outage may end at any time.
   */
  remainingBeyondEstimate?(elapsed: Milliseconds): Milliseconds;
}

/**
 * Weight of the newest outage in the estimate; the platform's promotion time
 * varies little.
 */
const NEWEST_OUTAGE_WEIGHT = 0.5;
/**
 * Longest outage that changes the estimate. A longer one indicates a network
 * partition or a failure of the platform, not a change of primary.
 */
export const MAXIMUM_FAILOVER_MS: Milliseconds = 3000;
/**
 * Lower limit of the remaining time: an outage that lasts longer than estimated
 * may end at any time.
 */
const MINIMUM_ESTIMATE_MS: Milliseconds = 100;

interface Outage<Cause> {
  /** State when the outage began: a leaving primary soon counts as lost. */
  readonly cause: Cause;
  readonly since: Milliseconds;
}

/** Creates an estimator with no known group and the initial estimates. */
export function createOutageEstimator<Cause extends string>(
  options: OutageEstimatorOptions<Cause>,
): OutageEstimator<Cause> {
  const {remainingBeyondEstimate = () => MINIMUM_ESTIMATE_MS} = options;
  const served = new Set<string>();
  const outages = new Map<string, Outage<Cause>>();
  const estimates: Record<Cause, Milliseconds> = {...options.initialEstimates};

  function recordEnd(group: string, now: Milliseconds): void {
    const outage = outages.get(group);
    served.add(group);
    outages.delete(group);
    if (outage !== undefined && now - outage.since <= MAXIMUM_FAILOVER_MS) {
      const {cause, since} = outage;
      estimates[cause] +=
        NEWEST_OUTAGE_WEIGHT * (now - since - estimates[cause]);
    }
  }

  function elapsed(group: string, now: Milliseconds): Milliseconds {
    return now - (outages.get(group)?.since ?? now);
  }

  return {
    recordState(group, state, now) {
      if (state === 'present') {
        recordEnd(group, now);
      } else if (served.has(group) && !outages.has(group)) {
        outages.set(group, {cause: state, since: now});
      }
    },
    expected(group, now) {
      const outage = outages.get(group);
      if (outage === undefined) {
        return 0;
      }
      const remaining = estimates[outage.cause] - elapsed(group, now);
      return remaining > 0
        ? Math.max(MINIMUM_ESTIMATE_MS, remaining)
        : remainingBeyondEstimate(elapsed(group, now));
    },
    elapsed,
  };
}
