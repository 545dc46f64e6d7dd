/** Observed service times of each kind of statement at a target. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Service time estimates per request kind. */
export interface ServiceTimes {
  /** Adds the time from sending a statement to its answer. */
  observe(kind: string, duration: Milliseconds): void;
  /** Moving average of a kind, or of all kinds if this one is new. */
  expected(kind: string): Milliseconds;
  /**
   * Approximately the shortest recent time, as an estimate for an idle target.
   */
  shortest(kind: string): Milliseconds;
  /** Drops all observations. */
  reset(): void;
}

/** Estimate before the first observation. */
export const INITIAL_SERVICE_TIME_MS: Milliseconds = 1;

const SAMPLE_WEIGHT = 0.1;
/**
 * Share of the distance to the average by which the shortest time is raised per
 * sample, so that outdated minima expire.
 */
const SHORTEST_INCREASE_RATIO = 0.002;

interface Estimate {
  average: Milliseconds;
  shortest: Milliseconds;
}

export function createServiceTimes(): ServiceTimes {
  const estimates = new Map<string, Estimate>();
  let overall: Milliseconds | undefined;

  function observe(kind: string, duration: Milliseconds): void {
    overall =
      overall === undefined
        ? duration
        : overall + SAMPLE_WEIGHT * (duration - overall);
    const estimate = estimates.get(kind);
    if (estimate === undefined) {
      estimates.set(kind, {average: duration, shortest: duration});
      return;
    }
    estimate.average += SAMPLE_WEIGHT * (duration - estimate.average);
    const raised =
      estimate.shortest +
      SHORTEST_INCREASE_RATIO *
        Math.max(0, estimate.average - estimate.shortest);
    estimate.shortest = Math.min(duration, raised);
  }

  return {
    observe,
    reset() {
      estimates.clear();
      overall = undefined;
    },
    expected: kind =>
      estimates.get(kind)?.average ?? overall ?? INITIAL_SERVICE_TIME_MS,
    shortest: kind =>
      estimates.get(kind)?.shortest ?? overall ?? INITIAL_SERVICE_TIME_MS,
  };
}
