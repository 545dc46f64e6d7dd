/** Measured time to open a connection to a target. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Estimate of the time to open a connection. */
export interface SetupTime {
  /** Adds the time from the request to the open connection. */
  observe(duration: Milliseconds, now: Milliseconds): void;
  /** `INITIAL_SETUP_TIME_MS` before the first connection was opened. */
  current(now: Milliseconds): Milliseconds;
}

/**
 * Estimate before the first sample. With 0, reads would prefer a target that
 * has accepted no connection yet.
 */
const INITIAL_SETUP_TIME_MS: Milliseconds = 20;
const SAMPLE_WEIGHT = 0.1;
/**
 * Half-life of the excess over the shortest time. A high estimate makes new
 * connections rare; without the decay, no sample would correct it after the
 * target has recovered.
 */
const EXCESS_HALF_LIFE_MS: Milliseconds = 1000;

/** Creates an estimate without samples. */
export function createSetupTime(): SetupTime {
  let shortest = Infinity;
  let excess = 0;
  let updatedAt = -Infinity;

  function excessAt(now: Milliseconds): Milliseconds {
    return excess * 0.5 ** ((now - updatedAt) / EXCESS_HALF_LIFE_MS);
  }

  return {
    observe(duration, now) {
      const previous = shortest === Infinity ? duration : shortest;
      const average = previous + excessAt(now);
      const next = average + SAMPLE_WEIGHT * (duration - average);
      shortest = Math.min(previous, duration);
      excess = next - shortest;
      updatedAt = now;
    },
    current: now =>
      shortest === Infinity ? INITIAL_SETUP_TIME_MS : shortest + excessAt(now),
  };
}
