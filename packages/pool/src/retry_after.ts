/** Computes the retry delay of refused callers. */
import type {Milliseconds, Random} from '@kelpstep/runtime';

/** Load from which a retry delay is computed. */
export interface RefusalLoad {
  /** Time until the running and queued requests are served. */
  readonly drainTime: Milliseconds;
  /** Time in which the recently refused requests could be served. */
  readonly refusedTime: Milliseconds;
}

/** Returns the retry delay after a refusal. */
export type RetryAfterPolicy = (
  load: RefusalLoad,
  random: Random,
) => Milliseconds;

export const MINIMUM_RETRY_AFTER_MS: Milliseconds = 50;
export const MAXIMUM_RETRY_AFTER_MS: Milliseconds = 10_000;

/**
 * Delays retries until the queued requests are served, and then spreads them
 * evenly over the time that serving the refused requests takes. Otherwise all
 * refused callers would retry at once.
 */
export const spreadRetryAfter: RetryAfterPolicy = (load, random) => {
  const earliest = Math.max(MINIMUM_RETRY_AFTER_MS, load.drainTime);
  const spread = Math.max(earliest, load.refusedTime);
  const retryAfter = earliest + spread * random.fraction();
  return Math.round(Math.min(MAXIMUM_RETRY_AFTER_MS, retryAfter));
};

/**
 * Sums the slot time of refused requests, the time for which they would have
 * occupied a slot of the target, with exponential decay.
 */
export interface RefusalMeter {
  add(slotTime: Milliseconds, now: Milliseconds): void;
  recent(now: Milliseconds): Milliseconds;
}

const HALF_LIFE_MS: Milliseconds = 500;

export function createRefusalMeter(): RefusalMeter {
  let refusedSlotTime = 0;
  let updatedAt = 0;

  function recent(now: Milliseconds): Milliseconds {
    refusedSlotTime *= 0.5 ** ((now - updatedAt) / HALF_LIFE_MS);
    updatedAt = now;
    return refusedSlotTime;
  }

  return {
    add(slotTime, now) {
      refusedSlotTime = recent(now) + slotTime;
    },
    recent,
  };
}
