/**
 * Futures. Unlike promises they settle synchronously and never reject, which
 * keeps the order of tasks reproducible under virtual time. Failures are values
 * of the type `Result` of ts-results.
 */

/** Cancels a subscription; further calls have no effect. */
export type Unsubscribe = () => void;

/** A value that is available now or later. */
export interface Future<T> {
  /** True once the value is available. */
  isSettled(): boolean;
  /** Calls the listener with the value, immediately if already settled. */
  onSettled(listener: (value: T) => void): Unsubscribe;
}

/** A future together with the function that settles it. */
export interface Deferred<T> {
  readonly future: Future<T>;
  /** Settles the future. Returns false if it was already settled. */
  settle(value: T): boolean;
}

/** Creates an unsettled future and the function that settles it. */
export function createDeferred<T>(): Deferred<T> {
  let outcome: {readonly value: T} | undefined;
  // Most futures have a single listener, which needs no array.
  let first: ((value: T) => void) | undefined;
  let others: Array<(value: T) => void> | undefined;

  function settle(value: T): boolean {
    if (outcome !== undefined) {
      return false;
    }
    outcome = {value};
    const [firstListener, otherListeners] = [first, others];
    first = undefined;
    others = undefined;
    firstListener?.(value);
    otherListeners?.forEach(listener => listener(value));
    return true;
  }

  function remove(listener: (value: T) => void): void {
    if (first === listener) {
      first = others?.shift();
    } else {
      others = others?.filter(other => other !== listener);
    }
  }

  function onSettled(listener: (value: T) => void): Unsubscribe {
    if (outcome !== undefined) {
      listener(outcome.value);
      return () => {};
    }
    if (first === undefined) {
      first = listener;
    } else {
      others ??= [];
      others.push(listener);
    }
    return () => remove(listener);
  }

  return {
    future: {isSettled: () => outcome !== undefined, onSettled},
    settle,
  };
}

/** Creates a settled future. */
export function settledFuture<T>(value: T): Future<T> {
  const deferred = createDeferred<T>();
  deferred.settle(value);
  return deferred.future;
}

/** Derives a future by transforming the value of another. */
export function mapFuture<T, U>(
  future: Future<T>,
  transform: (value: T) => U,
): Future<U> {
  const deferred = createDeferred<U>();
  future.onSettled(value => deferred.settle(transform(value)));
  return deferred.future;
}

/** Converts a future to a promise, for example in tests. */
export function promiseFromFuture<T>(future: Future<T>): Promise<T> {
  return new Promise(resolve => {
    future.onSettled(resolve);
  });
}
