/** Wakes waiting tasks when the state that they wait for has changed. */
import {type Future, createDeferred} from '@kelpstep/runtime';

/** A signal that can be given any number of times. */
export interface ChangeSignal {
  /** Settles at the next change. */
  next(): Future<undefined>;
  /** Wakes all tasks that wait for the next change. */
  give(): void;
}

/** Creates a signal without waiting tasks. */
export function createChangeSignal(): ChangeSignal {
  let current = createDeferred<undefined>();
  return {
    next: () => current.future,
    give() {
      const previous = current;
      current = createDeferred<undefined>();
      previous.settle(undefined);
    },
  };
}
