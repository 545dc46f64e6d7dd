/**
 * A virtual timer with a maximum number of steps, so that every run terminates.
 */
import type {Milliseconds, VirtualTimer} from '@kelpstep/runtime';

/**
 * Limits the total number of steps of `advance`, `runUntil` and `step`; throws
 * when the limit is exceeded.
 */
export function createBoundedTimer(
  inner: VirtualTimer,
  maximumSteps: number,
): VirtualTimer {
  let steps = 0;

  function countStep(): void {
    steps++;
    if (steps > maximumSteps) {
      throw new Error(
        `virtual timer exceeded ${maximumSteps} steps at ${inner.now()} ms`,
      );
    }
  }

  function runUntil(condition: () => boolean, limit: Milliseconds): boolean {
    return inner.runUntil(() => {
      countStep();
      return condition();
    }, limit);
  }

  return {
    ...inner,
    runUntil,
    advance(duration) {
      runUntil(() => false, duration);
    },
    step() {
      countStep();
      return inner.step();
    },
  };
}
