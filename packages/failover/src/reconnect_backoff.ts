/** Computes the backoff between attempts to connect to a member. */
import {type Milliseconds, type Random, retryBackoff} from '@kelpstep/runtime';

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
  return retryBackoff({first, longest}, failures, random);
}
