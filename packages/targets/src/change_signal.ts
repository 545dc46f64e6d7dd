/** Tells tasks that something they look at has changed. */
import {type Future, createDeferred} from '@kelpstep/runtime';

/** A signal that may be given any number of times. */
export interface ChangeSignal {
  /** Settles at the next change. */
  next(): Future<undefined>;
  give(): void;
}

/** Creates a signal. */
export function createChangeSignal(): ChangeSignal {
  let current = createDeferred<undefined>();
  return {
    next: () => current.future,
    give() {
      const given = current;
      current = createDeferred<undefined>();
      given.settle(undefined);
    },
  };
}
