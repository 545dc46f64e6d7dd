/** Stops calling a service that keeps failing, and probes it now and then. */
import type {Milliseconds, Random, TimerService} from '@kelpstep/runtime';

/**
 * `closed`: calls go through. `open`: calls are refused. `probing`: one call
 * is on its way to find out whether the service is back.
 */
export type BreakerState = 'closed' | 'open' | 'probing';

/** A circuit breaker. */
export interface CircuitBreaker {
  state(): BreakerState;
  /** True if a call may go now; it must then be reported. */
  admit(): boolean;
  succeeded(): void;
  failed(): void;
  /** Time until a call may be admitted, milliseconds. */
  retryAfter(): Milliseconds;
}

/** When a breaker opens and for how long. */
export interface CircuitBreakerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Failures in a row that open it. */
  readonly failureThreshold: number;
  /** First time open; doubles with each failed probe. */
  readonly shortestOpen: Milliseconds;
  readonly longestOpen: Milliseconds;
}

const JITTER = 0.25;

/** Creates a closed breaker. */
export function createCircuitBreaker(
  options: CircuitBreakerOptions,
): CircuitBreaker {
  const {timer, random} = options;
  let state: BreakerState = 'closed';
  let failures = 0;
  let openFor = options.shortestOpen;
  let openUntil = 0;

  function open(): void {
    state = 'open';
    openUntil = timer.now() + random.jitter(openFor, JITTER);
    openFor = Math.min(2 * openFor, options.longestOpen);
  }

  return {
    state: () => state,
    admit() {
      if (state === 'open' && timer.now() >= openUntil) {
        state = 'probing';
        return true;
      }
      return state === 'closed';
    },
    succeeded() {
      state = 'closed';
      failures = 0;
      openFor = options.shortestOpen;
    },
    failed() {
      failures++;
      const isLateFailure = state === 'open';
      if (
        !isLateFailure &&
        (state === 'probing' || failures >= options.failureThreshold)
      ) {
        open();
      }
    },
    retryAfter: () => Math.max(0, openUntil - timer.now()),
  };
}
