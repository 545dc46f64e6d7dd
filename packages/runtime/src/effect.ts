/**
 * What a task may wait for. A task is a generator that yields effects; the
 * runtime starts each effect and resumes the task with its value.
 */
import {Future, Unsubscribe} from './deferred';
import {Milliseconds, TimerService} from './timer';

/** Something that a task waits for, with a value of type `T` at its end. */
export interface Effect<T> {
  /** Starts waiting. The returned function gives the wait up. */
  start(timer: TimerService, resume: (value: T) => void): Unsubscribe;
}

/**
 * A generator task. Inside, wait by `yield*` on the functions of this module:
 * `const reply = yield* waitFor(future);`
 */
export type Task<T> = Generator<Effect<unknown>, T, unknown>;

/** Waits for any effect and gives its value with its type. */
export function* perform<T>(effect: Effect<T>): Task<T> {
  return (yield effect as Effect<unknown>) as T;
}

/** An effect that ends after a duration. */
export function delay(duration: Milliseconds): Effect<undefined> {
  return {
    start: (timer, resume) => timer.after(duration, () => resume(undefined)),
  };
}

/** An effect that ends when the future settles. */
export function settled<T>(future: Future<T>): Effect<T> {
  return {start: (unusedTimer, resume) => future.onSettled(resume)};
}

/** Which effect of a race ended first, and its value. */
export interface RaceWinner<T> {
  readonly index: number;
  readonly value: T;
}

/** An effect that ends with the first of several; the others are given up. */
export function race<T>(
  effects: ReadonlyArray<Effect<T>>,
): Effect<RaceWinner<T>> {
  return {
    start(timer, resume) {
      const cancels: Unsubscribe[] = [];
      let ended = false;
      function end(): void {
        ended = true;
        for (const cancel of cancels) {
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
          cancels.push(cancel);
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

/** Waits for a future; one that is settled costs no turn of the task. */
export function* waitFor<T>(future: Future<T>): Task<T> {
  if (future.isSettled()) {
    return valueOf(future);
  }
  return yield* perform(settled(future));
}

/** The value of a future that is settled. */
function valueOf<T>(future: Future<T>): T {
  let settledValue: T | undefined;
  future.onSettled(value => {
    settledValue = value;
  });
  return settledValue as T;
}

/** Waits for a future at most a duration; `undefined` if it did not settle. */
export function* waitAtMost<T>(
  future: Future<T>,
  duration: Milliseconds,
): Task<T | undefined> {
  const winner = yield* perform(
    race<T | undefined>([settled(future), delay(duration)]),
  );
  return winner.value;
}
