/** Runs generator tasks on a timer service. */
import {Future, Unsubscribe, createDeferred} from './deferred';
import {Effect, Task} from './effect';
import {Random} from './random';
import {TimerService} from './timer';

/** A running task. */
export interface TaskHandle<T> {
  /** Settles with the task's result; never if it is cancelled or fails. */
  readonly result: Future<T>;
  /** Ends the task: its `finally` blocks run, then nothing more of it. */
  cancel(): void;
}

/** Called when a task throws. */
export type TaskFailureListener = (error: unknown, name: string) => void;

/** What parts need to run tasks: time, chance and the means to start them. */
export interface Runtime {
  readonly timer: TimerService;
  readonly random: Random;
  /** Starts a task; it runs at once up to its first wait. */
  spawn<T>(name: string, task: Task<T>): TaskHandle<T>;
  /** Cancels every running task, as when the process dies. */
  shutdown(): void;
}

/** What a runtime is made of. */
export interface RuntimeOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** By default a failure is thrown on to whoever resumed the task. */
  readonly onTaskFailure?: TaskFailureListener;
}

function rethrow(error: unknown): void {
  throw error;
}

/** Creates a runtime without tasks. */
export function createRuntime(options: RuntimeOptions): Runtime {
  const {timer, random} = options;
  const onTaskFailure = options.onTaskFailure ?? rethrow;
  const running = new Set<() => void>();

  function spawn<T>(name: string, task: Task<T>): TaskHandle<T> {
    const result = createDeferred<T>();
    let giveUp: Unsubscribe = () => {};
    let ended = false;
    let advancing = false;

    function finish(): void {
      ended = true;
      running.delete(cancel);
    }

    function cancel(): void {
      if (ended) {
        return;
      }
      finish();
      giveUp();
      // A task that cancels itself is ended once it waits again.
      if (!advancing) {
        unwind();
      }
    }

    function unwind(): void {
      try {
        task.return(undefined as T);
      } catch (error) {
        onTaskFailure(error, name);
      }
    }

    /**
     * Resumes the task until it waits for something that is not there yet. An
     * effect that ends within `start` is handled by the loop, not by
     * recursion, so that long runs of settled futures keep the stack flat.
     */
    function run(first: unknown): void {
      let value = first;
      for (;;) {
        const step = advance(value);
        if (step === undefined) {
          return;
        }
        const outcome = wait(step.effect);
        if (outcome === undefined) {
          return;
        }
        value = outcome.value;
      }
    }

    function advance(
      value: unknown,
    ): {readonly effect: Effect<unknown>} | undefined {
      if (ended) {
        return undefined;
      }
      try {
        advancing = true;
        const step = task.next(value);
        advancing = false;
        if (!step.done && !ended) {
          return {effect: step.value};
        }
        if (!step.done) {
          unwind();
          return undefined;
        }
        finish();
        result.settle(step.value);
      } catch (error) {
        advancing = false;
        finish();
        onTaskFailure(error, name);
      }
      return undefined;
    }

    function wait(
      effect: Effect<unknown>,
    ): {readonly value: unknown} | undefined {
      let within = true;
      let immediate: {readonly value: unknown} | undefined;
      const cancelEffect = effect.start(timer, value => {
        if (within) {
          immediate = {value};
        } else {
          run(value);
        }
      });
      within = false;
      giveUp = cancelEffect;
      return immediate;
    }

    running.add(cancel);
    run(undefined);
    return {result: result.future, cancel};
  }

  function shutdown(): void {
    for (const cancel of [...running]) {
      cancel();
    }
  }

  return {timer, random, spawn, shutdown};
}
