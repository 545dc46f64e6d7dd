/** Timer service on the clocks and timers of Node.js. */
import {TimerService} from './timer';

/** Creates the timer service for daemons. */
export function createRealTimer(): TimerService {
  return {
    now: () => performance.now(),
    wallClock: () => Date.now(),
    after(delay, listener) {
      const handle = setTimeout(listener, Math.max(0, delay));
      return () => clearTimeout(handle);
    },
    every(period, listener) {
      const handle = setInterval(listener, period);
      return () => clearInterval(handle);
    },
  };
}
