/** Computes the backoff between attempts to connect to a member. */
import {type Milliseconds, type Random, retryPause} from '@kelpstep/runtime';

import type {FailoverTimings} from './timings';

/**
 * Returns a backoff that doubles with each failure up to the limit and varies
 * randomly.
 */
export function reconnectBackoff(
  timings: FailoverTimings,
  failures: number,
  random: Random,
): Milliseconds {
  const {reconnectDelay: first, reconnectDelayLimit: longest} = timings;
  return retryPause({first, longest}, failures, random);
}
