/**
 * Estimates when one of a target's pinned connections becomes free, from how
 * long transactions kept theirs. Does no input or output.
 *
 * This matters when callers are idle in open transactions: a statement that
 * waits for their connections would be held until its timeout.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Times for which transactions keep connections pinned. */
export interface PinTimes {
  /** Records a pin; the returned function records its end. */
  begin(now: Milliseconds): (now: Milliseconds) => void;
  /** Number of pinned connections. */
  count(): number;
  /** Predicted time until a connection is released; 0 if none is pinned. */
  expectedRelease(now: Milliseconds): Milliseconds;
}

/** Number of the newest ended pins that the estimate is based on. */
const SAMPLE_COUNT = 16;
/** Assumed duration before any pin has ended. */
const INITIAL_DURATION_MS: Milliseconds = 100;

/** Creates the estimate without any pin. */
export function createPinTimes(): PinTimes {
  const durations: Milliseconds[] = [];
  let count = 0;
  let sumOfStarts = 0;
  let changedAt = -Infinity;

  /**
   * Mean duration. The time that unfinished pins have lasted counts as well,
   * because otherwise only short transactions would.
   */
  function meanDuration(now: Milliseconds): Milliseconds {
    const ended = durations.reduce((sum, duration) => sum + duration, 0);
    const unfinished = count * now - sumOfStarts;
    return durations.length === 0
      ? INITIAL_DURATION_MS + unfinished
      : (ended + unfinished) / durations.length;
  }

  return {
    begin(startedAt) {
      let hasEnded = false;
      count += 1;
      sumOfStarts += startedAt;
      changedAt = startedAt;
      return now => {
        if (hasEnded) {
          return;
        }
        hasEnded = true;
        count -= 1;
        sumOfStarts -= startedAt;
        changedAt = now;
        durations.push(now - startedAt);
        durations.splice(0, durations.length - SAMPLE_COUNT);
      };
    },
    count: () => count,
    expectedRelease(now) {
      // After a time without a release, one is expected no sooner than after
      // the same time again: former transactions say little about idle ones.
      return count === 0
        ? 0
        : Math.max(meanDuration(now) / count, now - changedAt);
    },
  };
}
