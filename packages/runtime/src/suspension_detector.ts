/**
 * Notices that the process stood still in a way that the monotonic clock does
 * not show: a suspended machine. What was measured before is then older than
 * it seems.
 */
import type {Milliseconds, TimerService} from './timer';

/**
 * Difference between the advances of the two clocks that counts. Above what
 * clock discipline does within a second, well below the shortest staleness
 * that routes ask for. A step of the wall clock counts too: it costs a sample.
 */
const TOLERATED_DIFFERENCE: Milliseconds = 100;

/** Compares the clocks each time it is asked. */
export interface SuspensionGuard {
  /** True if time may have passed unnoticed since the last question. */
  hasSlept(): boolean;
}

/** Creates a guard that starts now. */
export function createSuspensionGuard(timer: TimerService): SuspensionGuard {
  let offset = timer.wallClock() - timer.now();
  return {
    hasSlept() {
      const current = timer.wallClock() - timer.now();
      const slept = Math.abs(current - offset) > TOLERATED_DIFFERENCE;
      offset = current;
      return slept;
    },
  };
}
