/** Backoff before a failed operation is retried. */
import type {Random} from './random';
import type {Milliseconds} from './timer';

/** Bounds of the backoff before jitter. */
export interface RetryBackoffBounds {
  readonly first: Milliseconds;
  readonly longest: Milliseconds;
}

/** Spreads the retries of operations that failed at the same time. */
const JITTER_RATIO = 0.3;
/** Keeps the power of two finite after any number of failures. */
const MAXIMUM_DOUBLINGS = 16;

/**
 * Returns a pause that doubles with each earlier failure up to `longest`,
 * varied by jitter.
 */
export function retryBackoff(
  {first, longest}: RetryBackoffBounds,
  earlierFailures: number,
  random: Random,
): Milliseconds {
  const doublings = Math.min(earlierFailures, MAXIMUM_DOUBLINGS);
  return random.jitter(Math.min(longest, first * 2 ** doublings), JITTER_RATIO);
}
