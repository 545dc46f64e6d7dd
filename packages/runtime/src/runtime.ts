/** Runs generator tasks on a timer service. */
import {Future, Unsubscribe, createDeferred} from './deferred';
import {Effect, Task} from './effect';
import {Random} from './random';
import {TimerService} from './timer';

/** A running task. */
export interface TaskHandle<T> {
  /** Settles with the task's result, unless the task is cancelled or fails. */
  readonly result: Future<T>;
  /** Ends the task after running its `finally` blocks. */
  cancel(): void;
}

/** Receives the error that a task threw and the name given to `spawn`. */
export type TaskFailureListener = (error: unknown, name: string) => void;

/** Runs tasks and provides them with time and random numbers. */
export interface Runtime {
  readonly timer: TimerService;
  readonly random: Random;
  /** Starts a task, which runs synchronously up to its first wait. */
  spawn<T>(name: string, task: Task<T>): TaskHandle<T>;
  /** Cancels all running tasks, which runs their `finally` blocks. */
  shutdown(): void;
}

/** The timer and the random numbers are shared by all tasks of the runtime. */
export interface RuntimeOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** By default the error is rethrown to the code that resumed the task. */
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
    let cancelWait: Unsubscribe = () => {};
    let ended = false;
    let isAdvancing = false;

    function finish(): void {
      ended = true;
      running.delete(cancel);
    }

    function cancel(): void {
      if (ended) {
        return;
      }
      finish();
      cancelWait();
      // A task that cancels itself is unwound by `advance` at its next wait.
      if (!isAdvancing) {
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
     * Resumes the task until it waits for an effect that does not complete
     * synchronously. Effects that complete within `start` are handled by the
     * loop instead of recursion, so that many of them in a row do not overflow
     * the stack.
     */
    function run(firstValue: unknown): void {
      let value = firstValue;
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
        isAdvancing = true;
        const step = task.next(value);
        isAdvancing = false;
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
        isAdvancing = false;
        finish();
        onTaskFailure(error, name);
      }
      return undefined;
    }

    function wait(
      effect: Effect<unknown>,
    ): {readonly value: unknown} | undefined {
      let isStarting = true;
      let immediateOutcome: {readonly value: unknown} | undefined;
      const cancelEffect = effect.start(timer, value => {
        if (isStarting) {
          immediateOutcome = {value};
        } else {
          run(value);
        }
      });
      isStarting = false;
      cancelWait = cancelEffect;
      return immediateOutcome;
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
