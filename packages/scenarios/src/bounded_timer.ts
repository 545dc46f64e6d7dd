/** Virtual time whose steps are bounded, so that no run goes on for ever. */
import type {Milliseconds, VirtualTimer} from '@kelpstep/runtime';

/** Bounds the steps of a timer's `advance` and `runUntil` together. */
export function createBoundedTimer(
  inner: VirtualTimer,
  mostSteps: number,
): VirtualTimer {
  let steps = 0;

  function count(): void {
    steps++;
    if (steps > mostSteps) {
      throw new Error(`more than ${mostSteps} steps by ${inner.now()} ms`);
    }
  }

  function runUntil(condition: () => boolean, limit: Milliseconds): boolean {
    return inner.runUntil(() => {
      count();
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
      count();
      return inner.step();
    },
  };
}
