import {type Milliseconds, type Random, retryBackoff} from '@kelpstep/runtime';

import type {FailoverTimings} from './timings';

/**
 * Returns the backoff before the next attempt to connect to a member. It doubles
 * with each failure up to the limit and varies randomly.
 */
export function reconnectBackoff(
  timings: FailoverTimings,
  failures: number,
  random: Random,
): Milliseconds {
  const {reconnectDelay: first, reconnectDelayLimit: longest} = timings;
  return retryBackoff({first, longest}, failures, random);
}
