/** Bounds how many tasks run at a time, and how many wait to run. */
import {
  Milliseconds,
  Task,
  createDeferred,
  waitWithTimeout,
} from '@kelpstep/runtime';

/** Bounds the number of tasks that hold a slot. */
export interface ConcurrencyLimiter {
  /** Waits for a slot; false after the timeout or if too many tasks wait. */
  acquire(timeout: Milliseconds): Task<boolean>;
  /** Returns a slot; the task that has waited longest gets it. */
  release(): void;
}

/** Bounds of a concurrency limiter. */
export interface ConcurrencyLimiterOptions {
  /** Maximum number of tasks that hold a slot at a time. */
  readonly maximumConcurrent: number;
  /** Maximum number of tasks that wait for a slot. */
  readonly maximumWaiting: number;
}

/** Creates a limiter with all slots free. */
export function createConcurrencyLimiter(
  options: ConcurrencyLimiterOptions,
): ConcurrencyLimiter {
  let freeSlots = options.maximumConcurrent;
  const queue: Array<() => void> = [];

  function* acquire(timeout: Milliseconds): Task<boolean> {
    if (freeSlots > 0) {
      freeSlots--;
      return true;
    }
    if (queue.length >= options.maximumWaiting) {
      return false;
    }
    const acquired = createDeferred<true>();
    const grant = () => void acquired.settle(true);
    queue.push(grant);
    const isAcquired = yield* waitWithTimeout(acquired.future, timeout);
    if (isAcquired === undefined) {
      queue.splice(queue.indexOf(grant), 1);
    }
    return isAcquired === true;
  }

  function release(): void {
    const grantNext = queue.shift();
    if (grantNext === undefined) {
      freeSlots++;
    } else {
      grantNext();
    }
  }

  return {acquire, release};
}
