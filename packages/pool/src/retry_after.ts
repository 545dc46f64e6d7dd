/** When a refused caller is to come back. */
import type {Milliseconds, Random} from '@kelpstep/runtime';

/** What the time to come back may go by. */
export interface RefusalLoad {
  /** Time in which what waits and runs now is served. */
  readonly drainTime: Milliseconds;
  /** Time in which what was refused lately could be served. */
  readonly refusedTime: Milliseconds;
}

/** Gives the time to come back after a refusal. */
export type RetryAfterPolicy = (
  load: RefusalLoad,
  random: Random,
) => Milliseconds;

/** Shortest time to come back. */
export const MINIMUM_RETRY_AFTER: Milliseconds = 50;
/** Longest time to come back. */
export const MAXIMUM_RETRY_AFTER: Milliseconds = 10_000;

/**
 * Not before what waits is served, and then spread evenly over the time that
 * serving the refused ones takes, so that they don't return as one wave.
 */
export const spreadRetryAfter: RetryAfterPolicy = (load, random) => {
  const earliest = Math.max(MINIMUM_RETRY_AFTER, load.drainTime);
  const spread = Math.max(earliest, load.refusedTime);
  const time = earliest + spread * random.fraction();
  return Math.round(Math.min(MAXIMUM_RETRY_AFTER, time));
};

/** Counts refused work, halving it each half-life. */
export interface RefusalMeter {
  add(work: Milliseconds, now: Milliseconds): void;
  recent(now: Milliseconds): Milliseconds;
}

const HALF_LIFE: Milliseconds = 500;

/** Creates a meter at zero. */
export function createRefusalMeter(): RefusalMeter {
  let amount = 0;
  let updatedAt = 0;

  function recent(now: Milliseconds): Milliseconds {
    amount *= 0.5 ** ((now - updatedAt) / HALF_LIFE);
    updatedAt = now;
    return amount;
  }

  return {
    add(work, now) {
      amount = recent(now) + work;
    },
    recent,
  };
}
