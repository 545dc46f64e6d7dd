/** Maximum of the recently recorded values. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Keeps a maximum for a limited time. */
export interface RecentMaximum {
  /** Records a value and returns the current maximum. */
  recordValue(value: number): number;
}

/**
 * Creates an empty maximum; it expires if not reached again within `retention`.
 */
export function createRecentMaximum(
  timer: TimerService,
  retention: Milliseconds,
): RecentMaximum {
  let highest = -Infinity;
  let recordedAt = -Infinity;

  return {
    recordValue(value) {
      const isExpired = timer.now() - recordedAt > retention;
      if (value >= highest || isExpired) {
        highest = value;
        recordedAt = timer.now();
      }
      return highest;
    },
  };
}
