/**
 * Tracks whether a target answers writes. A primary that lost its replicas
 * still answers reads, but its writes wait until a replica receives them.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Writes and commits in progress on one target. */
export interface WriteProgress {
  /**
   * Records a sent write. The returned function is to be called once, with true
   * if the write was answered.
   */
  start(): (isAnswered: boolean) => void;
  /**
   * Monotonic time of the last answer to a write, or of sending the oldest
   * pending write if that is later; undefined if no write is pending.
   */
  stalledSince(): Milliseconds | undefined;
}

/** Creates a tracker without pending writes. */
export function createWriteProgress(timer: TimerService): WriteProgress {
  const waiting = new Set<{readonly sentAt: Milliseconds}>();
  let answeredAt = -Infinity;

  return {
    start() {
      const write = {sentAt: timer.now()};
      waiting.add(write);
      return isAnswered => {
        waiting.delete(write);
        if (isAnswered) {
          answeredAt = timer.now();
        }
      };
    },
    stalledSince() {
      // Sets iterate in insertion order, so the first is the oldest.
      const [oldest] = waiting;
      return oldest && Math.max(oldest.sentAt, answeredAt);
    },
  };
}
