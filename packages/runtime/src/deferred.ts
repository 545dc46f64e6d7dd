/**
 * Values that become known later. Unlike promises they settle synchronously
 * and never reject, so that tasks replay in the same order under virtual time.
 * Failures are values: use `Result` of ts-results.
 */

/** Takes back a subscription; calling it again does nothing. */
export type Unsubscribe = () => void;

/** A value that is known now or later. */
export interface Future<T> {
  /** True once the value is known. */
  isSettled(): boolean;
  /** Calls the listener with the value: at once if it is already known. */
  onSettled(listener: (value: T) => void): Unsubscribe;
}

/** A future together with the function that settles it. */
export interface Deferred<T> {
  readonly future: Future<T>;
  /** Gives the value. Returns false if the future was settled before. */
  settle(value: T): boolean;
}

/** Creates an unsettled future and the function that settles it. */
export function createDeferred<T>(): Deferred<T> {
  let outcome: {readonly value: T} | undefined;
  // Most futures have one listener: it needs no list.
  let first: ((value: T) => void) | undefined;
  let others: Array<(value: T) => void> | undefined;

  function settle(value: T): boolean {
    if (outcome !== undefined) {
      return false;
    }
    outcome = {value};
    const [firstWaiting, othersWaiting] = [first, others];
    first = undefined;
    others = undefined;
    firstWaiting?.(value);
    othersWaiting?.forEach(listener => listener(value));
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

/** A future that is settled from the start. */
export function settledFuture<T>(value: T): Future<T> {
  const deferred = createDeferred<T>();
  deferred.settle(value);
  return deferred.future;
}

/** Derives a future whose value is computed from another's. */
export function mapFuture<T, U>(
  future: Future<T>,
  transform: (value: T) => U,
): Future<U> {
  const deferred = createDeferred<U>();
  future.onSettled(value => deferred.settle(transform(value)));
  return deferred.future;
}

/** Wraps a future for callers that use promises, such as tests. */
export function promiseFromFuture<T>(future: Future<T>): Promise<T> {
  return new Promise(resolve => {
    future.onSettled(resolve);
  });
}
