/**
 * Tells whether writes at a target are answered. A primary that lost its replicas
 * answers all but writes: these wait for a receiver.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Writes and commits that are under way at one target. */
export interface WriteProgress {
  /** A write was sent; call the result once, with whether it was answered. */
  start(): (isAnswered: boolean) => void;
  /** Since when writes wait and none is answered; undefined if none waits. */
  stalledSince(): Milliseconds | undefined;
}

/** Creates it without writes. */
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
      // A set gives the oldest first.
      const [oldest] = waiting;
      return oldest && Math.max(oldest.sentAt, answeredAt);
    },
  };
}
