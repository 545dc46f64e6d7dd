/** How long to wait before something that failed is tried again. */
import type {Random} from './random';
import type {Milliseconds} from './timer';

/** Bounds of the pauses. */
export interface RetryPauseBounds {
  readonly first: Milliseconds;
  readonly longest: Milliseconds;
}

/** As share of the pause: many that failed together don't come back together. */
const JITTER = 0.3;
/** Keeps the power finite after however many failures. */
const MOST_DOUBLINGS = 16;

/** Doubles with each earlier failure up to the longest, and varies by chance. */
export function retryPause(
  {first, longest}: RetryPauseBounds,
  earlierFailures: number,
  random: Random,
): Milliseconds {
  const doublings = Math.min(earlierFailures, MOST_DOUBLINGS);
  return random.jitter(Math.min(longest, first * 2 ** doublings), JITTER);
}
