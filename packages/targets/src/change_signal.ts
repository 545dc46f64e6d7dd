/** Wakes waiting tasks when the state that they wait for has changed. */
import {type Future, createDeferred} from '@kelpstep/runtime';

/** Signal on which tasks wait for a change; it can be given repeatedly. */
export interface ChangeSignal {
  /** Settles at the next change. */
  next(): Future<undefined>;
  /** Wakes all tasks that wait for the next change. */
  notify(): void;
}

/** Creates a signal for which no task waits. */
export function createChangeSignal(): ChangeSignal {
  let current = createDeferred<undefined>();
  return {
    next: () => current.future,
    notify() {
      const previous = current;
      current = createDeferred<undefined>();
      previous.settle(undefined);
    },
  };
}
