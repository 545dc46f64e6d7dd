/**
 * Limits the statements that this proxy runs at a target concurrently. All
 * proxies share the target's slots and don't exchange their usage, so each
 * adapts its limit to the latencies and refusals that it observes.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Observation of one statement. */
export interface LimitSample {
  /** `exhausted`: refused because no slot was free. `lost`: no answer. */
  readonly outcome: 'answered' | 'exhausted' | 'lost';
  readonly latency: Milliseconds;
  /** Estimated latency of this kind at an idle target. */
  readonly shortestLatency: Milliseconds;
  /** Statements running when this one was sent, including itself. */
  readonly inFlight: number;
  /** Monotonic time of the answer. */
  readonly now: Milliseconds;
}

/** Maximum number of concurrent statements, fixed or adaptive. */
export interface ConcurrencyLimit {
  /** The current limit; at least 1. Only its integer part counts. */
  current(): number;
  observe(sample: LimitSample): void;
}

/** Creates the limit for a target with the given number of slots. */
export type CreateConcurrencyLimit = (slots: number) => ConcurrencyLimit;

/**
 * Factors of the adaptive limit, which starts at the number of the target's
 * slots.
 */
export interface AdaptiveLimitSettings {
  /** Maximum limit, in multiples of the target's slots. */
  readonly maximumPerSlot: number;
  /** Factor applied to the limit after a refusal. */
  readonly decreaseOnRefusal: number;
  /** Factor applied to the limit after a latency beyond the tolerance. */
  readonly decreaseOnLatency: number;
  /** Tolerated latency, in multiples of the latency at an idle target. */
  readonly latencyTolerance: number;
  /**
   * Excess over the latency at an idle target that is always tolerated, because
   * the ratio of short latencies is mostly noise.
   */
  readonly latencySlack: Milliseconds;
}

/** Limits a proxy to the target's slots. */
export const DEFAULT_ADAPTIVE_LIMIT: AdaptiveLimitSettings = {
  maximumPerSlot: 1,
  decreaseOnRefusal: 0.7,
  decreaseOnLatency: 0.9,
  latencyTolerance: 2,
  latencySlack: 2,
};

/**
 * Increases the limit additively while it is fully used and the latency is near
 * that of an idle target. Decreases it multiplicatively on a refusal or a long
 * latency, at most once within the latency of the statement that caused the
 * last decrease.
 */
export function createAdaptiveLimit(
  slots: number,
  settings: AdaptiveLimitSettings = DEFAULT_ADAPTIVE_LIMIT,
): ConcurrencyLimit {
  const maximum = Math.max(1, slots * settings.maximumPerSlot);
  let limit = slots;
  let nextDecreaseAt = -Infinity;

  function decrease(factor: number, sample: LimitSample): void {
    if (sample.now < nextDecreaseAt) {
      return;
    }
    limit = Math.max(1, limit * factor);
    nextDecreaseAt = sample.now + sample.latency;
  }

  function isSlow({latency, shortestLatency}: LimitSample): boolean {
    return (
      latency > shortestLatency * settings.latencyTolerance &&
      latency > shortestLatency + settings.latencySlack
    );
  }

  function observe(sample: LimitSample): void {
    if (sample.outcome === 'exhausted') {
      decrease(settings.decreaseOnRefusal, sample);
    } else if (sample.outcome === 'answered' && isSlow(sample)) {
      decrease(settings.decreaseOnLatency, sample);
    } else if (
      sample.outcome === 'answered' &&
      sample.inFlight >= Math.floor(limit)
    ) {
      limit = Math.min(maximum, limit + 1 / limit);
    }
  }

  return {current: () => limit, observe};
}

/** Creates a constant limit, used for comparison. */
export function createFixedLimit(limit: number): ConcurrencyLimit {
  return {current: () => limit, observe: () => {}};
}

/** Creates a limit that is never reached, used for comparison. */
export function createUnlimitedConcurrency(): ConcurrencyLimit {
  return createFixedLimit(Infinity);
}
