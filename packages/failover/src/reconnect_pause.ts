/** How long to wait before a connection is tried again. */
import {type Milliseconds, type Random, retryPause} from '@kelpstep/runtime';

import type {FailoverTimings} from './timings';

/** Doubles with each failure up to the limit, and varies by chance. */
export function reconnectPause(
  timings: FailoverTimings,
  failures: number,
  random: Random,
): Milliseconds {
  const {reconnectDelay: first, reconnectDelayLimit: longest} = timings;
  return retryPause({first, longest}, failures, random);
}
