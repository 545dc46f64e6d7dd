/** Backoff between attempts to connect to a member. */
import {type Milliseconds, type Random, retryPause} from '@kelpstep/runtime';

import type {FailoverTimings} from './timings';

/** Doubles with each failure up to the limit, with random variation. */
export function reconnectBackoff(
  timings: FailoverTimings,
  failures: number,
  random: Random,
): Milliseconds {
  const {reconnectDelay: first, reconnectDelayLimit: longest} = timings;
  return retryPause({first, longest}, failures, random);
}
