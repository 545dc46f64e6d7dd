/** The highest of the values that were noted lately. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Remembers a maximum for some time. */
export interface RecentMaximum {
  /** Notes a value; gives the highest one. */
  note(value: number): number;
}

/** Creates it without a value; one is kept for so long after it was last noted. */
export function createRecentMaximum(
  timer: TimerService,
  keptFor: Milliseconds,
): RecentMaximum {
  let highest = -Infinity;
  let notedAt = -Infinity;

  return {
    note(value) {
      const isOver = timer.now() - notedAt > keptFor;
      if (value >= highest || isOver) {
        highest = value;
        notedAt = timer.now();
      }
      return highest;
    },
  };
}
