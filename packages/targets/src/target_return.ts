/**
 * Returns an ejected target to service: by trial reads, then with a growing
 * share of reads. Does no input or output.
 *
 * Load: a target that fails for seconds. Each read that is sent to it too early
 * is delayed, and after its recovery all reads at once would overload it.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/**
 * Which reads a target may get: `all`, `none`, a `trial`, or the `share` that
 * `takesShare` admits.
 */
export type ReadAdmission = 'all' | 'none' | 'trial' | 'share';

/** How a trial read ended; `none` tells nothing about the target. */
export type TrialResult = 'success' | 'failure' | 'none';

/** State of one target's ejection; times are monotonic. */
export interface TargetReturn {
  admission(now: Milliseconds): ReadAdmission;
  /** True while the target is ejected or on trial. */
  isOut(): boolean;
  eject(now: Milliseconds): void;
  /** Starts a trial; none other starts until the result is passed. */
  startTrial(): void;
  /** Ends the trial; undefined if further ones are needed. */
  endTrial(
    result: TrialResult,
    now: Milliseconds,
  ): 'ejected' | 'returned' | undefined;
  /** Counts a read, and returns true if it belongs to the target's share. */
  takesShare(now: Milliseconds): boolean;
}

/** Durations of ejections and the growth of the share of reads. */
const FIRST_EJECTION_MS: Milliseconds = 500;
/** A target that has recovered is found within this time. */
const LONGEST_EJECTION_MS: Milliseconds = 8000;
/** Time after an ejection's end after which the duration starts anew. */
const RESET_TIME_MS: Milliseconds = 10_000;
const TRIAL_COUNT = 3;
const FIRST_SHARE = 1 / 8;
const SHARE_DOUBLING_TIME_MS: Milliseconds = 250;

/** Creates the state of a target that gets all reads. */
export function createTargetReturn(): TargetReturn {
  let state: 'all' | 'out' | 'share' = 'all';
  let duration: Milliseconds = 0;
  let ejectedUntil = -Infinity;
  let successes = 0;
  let isOnTrial = false;
  let returnedAt = -Infinity;
  let offeredReads = 0;

  function share(now: Milliseconds): number {
    const doublings = Math.floor((now - returnedAt) / SHARE_DOUBLING_TIME_MS);
    return FIRST_SHARE * 2 ** doublings;
  }

  function eject(now: Milliseconds): void {
    const isFirst = now - ejectedUntil > RESET_TIME_MS;
    duration = isFirst
      ? FIRST_EJECTION_MS
      : Math.min(LONGEST_EJECTION_MS, 2 * duration);
    state = 'out';
    ejectedUntil = now + duration;
    successes = 0;
    isOnTrial = false;
  }

  function endTrial(
    result: TrialResult,
    now: Milliseconds,
  ): 'ejected' | 'returned' | undefined {
    isOnTrial = false;
    if (result === 'failure') {
      eject(now);
      return 'ejected';
    }
    successes += result === 'success' ? 1 : 0;
    if (successes < TRIAL_COUNT) {
      return undefined;
    }
    state = 'share';
    returnedAt = now;
    offeredReads = 0;
    return 'returned';
  }

  return {
    admission(now) {
      if (state === 'out') {
        return now < ejectedUntil || isOnTrial ? 'none' : 'trial';
      }
      if (state === 'share' && share(now) >= 1) {
        state = 'all';
      }
      return state;
    },
    isOut: () => state === 'out',
    eject,
    startTrial() {
      isOnTrial = true;
    },
    endTrial,
    takesShare(now) {
      offeredReads += 1;
      return offeredReads % Math.ceil(1 / share(now)) === 0;
    },
  };
}
