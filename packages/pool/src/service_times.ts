/** How long statements of each kind take at a target, as observed. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Estimates per request kind. */
export interface ServiceTimes {
  /** Takes in the time from sending a statement to its answer. */
  observe(kind: string, duration: Milliseconds): void;
  /** Moving average of a kind; of all kinds if this one is new. */
  expected(kind: string): Milliseconds;
  /** About the shortest time seen lately: what an idle target takes. */
  shortest(kind: string): Milliseconds;
}

/** Guess before anything was observed. */
export const INITIAL_SERVICE_TIME: Milliseconds = 1;

const WEIGHT = 0.1;
/** The shortest time rises by this share per sample, so that it can forget. */
const FORGETTING = 0.002;

interface Estimate {
  average: Milliseconds;
  shortest: Milliseconds;
}

/** Creates estimates that know nothing yet. */
export function createServiceTimes(): ServiceTimes {
  const estimates = new Map<string, Estimate>();
  let overall: Milliseconds | undefined;

  function observe(kind: string, duration: Milliseconds): void {
    overall =
      overall === undefined
        ? duration
        : overall + WEIGHT * (duration - overall);
    const estimate = estimates.get(kind);
    if (estimate === undefined) {
      estimates.set(kind, {average: duration, shortest: duration});
      return;
    }
    estimate.average += WEIGHT * (duration - estimate.average);
    const relaxed =
      estimate.shortest +
      FORGETTING * Math.max(0, estimate.average - estimate.shortest);
    estimate.shortest = Math.min(duration, relaxed);
  }

  return {
    observe,
    expected: kind =>
      estimates.get(kind)?.average ?? overall ?? INITIAL_SERVICE_TIME,
    shortest: kind =>
      estimates.get(kind)?.shortest ?? overall ?? INITIAL_SERVICE_TIME,
  };
}
