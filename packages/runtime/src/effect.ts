/**
 * Tasks and effects. A task is a generator that yields effects; the runtime
 * starts each effect and resumes the task with the value of the effect.
 */
import {Future, Unsubscribe} from './deferred';
import {Milliseconds, TimerService} from './timer';

/** An operation that a task waits for; it completes with a value. */
export interface Effect<T> {
  /** Starts the effect. The returned function cancels it. */
  start(timer: TimerService, resume: (value: T) => void): Unsubscribe;
}

/**
 * A generator task. It waits with `yield*` on the functions of this module, for
 * example `const reply = yield* waitFor(future);`.
 */
export type Task<T> = Generator<Effect<unknown>, T, unknown>;

/** Waits for an effect and returns its value. */
export function* perform<T>(effect: Effect<T>): Task<T> {
  return (yield effect as Effect<unknown>) as T;
}

/** Creates an effect that completes after a duration. */
export function delay(duration: Milliseconds): Effect<undefined> {
  return {
    start: (timer, resume) => timer.after(duration, () => resume(undefined)),
  };
}

/** Creates an effect that completes when the future settles. */
export function settled<T>(future: Future<T>): Effect<T> {
  return {start: (unusedTimer, resume) => future.onSettled(resume)};
}

/** Index and value of the effect that completed first. */
export interface RaceWinner<T> {
  readonly index: number;
  readonly value: T;
}

/** Completes with the first of several effects and cancels the others. */
export function race<T>(
  effects: ReadonlyArray<Effect<T>>,
): Effect<RaceWinner<T>> {
  return {
    start(timer, resume) {
      const cancelFunctions: Unsubscribe[] = [];
      let ended = false;
      function end(): void {
        ended = true;
        for (const cancel of cancelFunctions) {
          cancel();
        }
      }
      effects.forEach((effect, index) => {
        if (ended) {
          return;
        }
        const cancel = effect.start(timer, value => {
          if (!ended) {
            end();
            resume({index, value});
          }
        });
        if (ended) {
          cancel();
        } else {
          cancelFunctions.push(cancel);
        }
      });
      return end;
    },
  };
}

/** Waits for a duration. */
export function* sleep(duration: Milliseconds): Task<void> {
  yield* perform(delay(duration));
}

/** Waits for a future. If it is settled, the task does not yield. */
export function* waitFor<T>(future: Future<T>): Task<T> {
  if (future.isSettled()) {
    return valueOf(future);
  }
  return yield* perform(settled(future));
}

/** Returns the value of a settled future. */
function valueOf<T>(future: Future<T>): T {
  let settledValue: T | undefined;
  future.onSettled(value => {
    settledValue = value;
  });
  return settledValue as T;
}

/** Waits for a future; `undefined` if it does not settle in the duration. */
export function* waitWithTimeout<T>(
  future: Future<T>,
  duration: Milliseconds,
): Task<T | undefined> {
  const winner = yield* perform(
    race<T | undefined>([settled(future), delay(duration)]),
  );
  return winner.value;
}
