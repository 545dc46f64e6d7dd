/**
 * Tracks whether a target answers writes. A primary that lost its replicas
 * still answers reads, but its writes wait until a replica receives them.
 */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Writes and commits in progress on one target. */
export interface WriteProgress {
  /**
   * Records a sent write. The returned function is to be called once, with
   * whether the write was answered, and whether a commit was acknowledged.
   */
  start(): (isAnswered: boolean, isCommitted: boolean) => void;
  /**
   * Monotonic time of the last answer to a write, or of sending the oldest
   * pending write if that is later; undefined if no write is pending.
   */
  stalledSince(): Milliseconds | undefined;
}

export interface WriteProgressOptions {
  readonly timer: TimerService;
  /** End of the target's log as last reported; undefined if it is not known. */
  logEnd(): LogPosition | undefined;
  /** Called for an acknowledged commit, whose position is above `after`. */
  onCommit(after: LogPosition): void;
}

/** Creates a tracker without pending writes. */
export function createWriteProgress({
  timer,
  logEnd,
  onCommit,
}: WriteProgressOptions): WriteProgress {
  const waiting = new Set<{readonly sentAt: Milliseconds}>();
  let answeredAt = -Infinity;

  return {
    start() {
      const write = {sentAt: timer.now()};
      const endBefore = logEnd();
      waiting.add(write);
      return (isAnswered, isCommitted) => {
        waiting.delete(write);
        if (isCommitted && endBefore !== undefined) {
          onCommit(endBefore);
        }
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
