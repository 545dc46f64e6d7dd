/** Bounds how many tasks do something at a time, and how many wait for it. */
import {
  Milliseconds,
  Task,
  createDeferred,
  waitAtMost,
} from '@kelpstep/runtime';

/** Lets a bounded number of tasks in. */
export interface Gate {
  /** Waits for a place; false if there is none in time or too many wait. */
  enter(timeout: Milliseconds): Task<boolean>;
  /** Gives a place back. */
  leave(): void;
}

/** Bounds of a gate. */
export interface GateOptions {
  readonly places: number;
  /** Tasks that may wait for a place. */
  readonly waiting: number;
}

/** Creates a gate with all its places free. */
export function createGate(options: GateOptions): Gate {
  let free = options.places;
  const queue: Array<() => void> = [];

  function* enter(timeout: Milliseconds): Task<boolean> {
    if (free > 0) {
      free--;
      return true;
    }
    if (queue.length >= options.waiting) {
      return false;
    }
    const place = createDeferred<true>();
    const take = () => void place.settle(true);
    queue.push(take);
    const entered = yield* waitAtMost(place.future, timeout);
    if (entered === undefined) {
      queue.splice(queue.indexOf(take), 1);
    }
    return entered === true;
  }

  function leave(): void {
    const next = queue.shift();
    if (next === undefined) {
      free++;
    } else {
      next();
    }
  }

  return {enter, leave};
}
