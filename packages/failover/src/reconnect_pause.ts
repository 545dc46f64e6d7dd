/** How long to wait before a connection is tried again. */
import type {Milliseconds, Random} from '@kelpstep/runtime';

import type {FailoverTimings} from './timings';

/** As share of the pause. */
const RECONNECT_JITTER = 0.3;
const MOST_DOUBLINGS = 16;

/** Doubles with each failure up to the limit, and varies by chance. */
export function reconnectPause(
  timings: FailoverTimings,
  failures: number,
  random: Random,
): Milliseconds {
  const base = Math.min(
    timings.reconnectDelay * 2 ** Math.min(failures, MOST_DOUBLINGS),
    timings.reconnectDelayLimit,
  );
  return random.jitter(base, RECONNECT_JITTER);
}
