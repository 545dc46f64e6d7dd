/**
 * Detects suspensions of the machine, during which the monotonic clock does not
 * advance. Earlier measurements are then older than the monotonic clock shows.
 */
import type {Milliseconds, TimerService} from './timer';

/**
 * Largest difference between the advances of the two clocks that is not treated
 * as a suspension: above the correction that clock synchronization makes within
 * a second, well below the shortest staleness bound of a route. A step of the
 * wall clock is treated as a suspension too, at the cost of one sample.
 */
const TOLERATED_DIFFERENCE_MS: Milliseconds = 100;

/** Compares the wall clock with the monotonic clock on each call. */
export interface SuspensionDetector {
  /** True if the machine may have been suspended since the previous call. */
  wasSuspended(): boolean;
}

/** Creates a detector for suspensions from now on. */
export function createSuspensionDetector(
  timer: TimerService,
): SuspensionDetector {
  let offset = timer.wallClock() - timer.now();
  return {
    wasSuspended() {
      const current = timer.wallClock() - timer.now();
      const suspended = Math.abs(current - offset) > TOLERATED_DIFFERENCE_MS;
      offset = current;
      return suspended;
    },
  };
}
