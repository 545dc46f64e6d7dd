/**
 * Tracks whether a target answers writes. A primary that lost its replicas
 * still answers reads, but its writes wait until a replica receives them.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Writes and commits in flight to one target. */
export interface WriteProgress {
  /** Records a sent write; call the result once, with its outcome. */
  start(): (isAnswered: boolean) => void;
  /** Since when pending writes are unanswered; undefined if none is pending. */
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
