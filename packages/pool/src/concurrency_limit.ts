/**
 * How many statements this proxy lets run at a target at a time. A target's
 * slots are shared by all proxies, which don't tell each other what they use:
 * each goes by what the target shows.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** What one statement showed. */
export interface LimitSample {
  /** `exhausted`: refused for want of a slot. `lost`: no answer came. */
  readonly outcome: 'answered' | 'exhausted' | 'lost';
  readonly latency: Milliseconds;
  /** Latency of this kind at an idle target. */
  readonly shortestLatency: Milliseconds;
  /** Statements that ran when this one was sent, itself included. */
  readonly inFlight: number;
  /** Monotonic time of the answer. */
  readonly now: Milliseconds;
}

/** A limit that may adapt. */
export interface ConcurrencyLimit {
  /** At least 1; the whole part counts. */
  current(): number;
  observe(sample: LimitSample): void;
}

/** Creates the limit of a target with so many slots. */
export type CreateConcurrencyLimit = (slots: number) => ConcurrencyLimit;

/** Settings of the adaptive limit. */
export interface AdaptiveLimitSettings {
  /** Largest limit, in multiples of the target's slots. */
  readonly maximumPerSlot: number;
  /** Factor after a refusal. */
  readonly decreaseOnRefusal: number;
  /** Factor after a latency beyond the tolerance. */
  readonly decreaseOnLatency: number;
  /** Latency that is tolerated, in multiples of an idle target's. */
  readonly latencyTolerance: number;
  /** Slack for short latencies, whose ratio is mostly noise. */
  readonly latencySlack: Milliseconds;
}

/** Settings unless others are passed. */
export const DEFAULT_ADAPTIVE_LIMIT: AdaptiveLimitSettings = {
  maximumPerSlot: 1,
  decreaseOnRefusal: 0.7,
  decreaseOnLatency: 0.9,
  latencyTolerance: 2,
  latencySlack: 2,
};

/**
 * Additive increase while the limit is used up and latency is near an idle
 * target's; multiplicative decrease, at most once per latency, on a refusal
 * or a long latency.
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

/** A limit that stays; for comparison. */
export function createFixedLimit(limit: number): ConcurrencyLimit {
  return {current: () => limit, observe: () => {}};
}

/** No limit; for comparison. */
export function createNoLimit(): ConcurrencyLimit {
  return createFixedLimit(Infinity);
}
