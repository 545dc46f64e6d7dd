/**
 * Measures the slot time that a target provides to this proxy per millisecond
 * while requests are queued; slot time is the time for which a statement
 * occupies a slot. The concurrency limit overestimates it when other proxies
 * use the slots and requests are refused because none is free.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Measures the rate at which queued requests are served. */
export interface DrainRate {
  /**
   * Adds the expected slot time of a request that ended. `isSaturated` states
   * whether other requests were queued at that time.
   */
  observe(
    slotTime: Milliseconds,
    now: Milliseconds,
    isSaturated: boolean,
  ): void;
  /** Average number of concurrent statements; `undefined` if not known. */
  current(now: Milliseconds): number | undefined;
}

const DECAY_RATIO = 0.95;
const MINIMUM_SAMPLES = 5;
/** Age after which a measurement is discarded as outdated. */
const VALIDITY_MS: Milliseconds = 1_000;

export function createDrainRate(): DrainRate {
  let saturatedSince: Milliseconds | undefined;
  let totalSlotTime = 0;
  let totalTime = 0;
  let samples = 0;
  let measuredAt = -Infinity;

  function resetIfStale(now: Milliseconds): void {
    if (now - measuredAt > VALIDITY_MS) {
      totalSlotTime = 0;
      totalTime = 0;
      samples = 0;
    }
  }

  return {
    observe(slotTime, now, isSaturated) {
      if (saturatedSince !== undefined) {
        resetIfStale(now);
        totalSlotTime = totalSlotTime * DECAY_RATIO + slotTime;
        totalTime = totalTime * DECAY_RATIO + (now - saturatedSince);
        samples += 1;
        measuredAt = now;
      }
      saturatedSince = isSaturated ? now : undefined;
    },
    current(now) {
      resetIfStale(now);
      return samples < MINIMUM_SAMPLES || totalTime === 0
        ? undefined
        : totalSlotTime / totalTime;
    },
  };
}
