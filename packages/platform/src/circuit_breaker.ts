/** Stops calls to a service that keeps failing, and probes it periodically. */
import type {Milliseconds, Random, TimerService} from '@kelpstep/runtime';

/**
 * `closed`: calls are admitted. `open`: calls are refused. `probing`: one call
 * is in flight to test whether the service has recovered.
 */
export type BreakerState = 'closed' | 'open' | 'probing';

/** Decides whether a call may be sent, from the results of earlier calls. */
export interface CircuitBreaker {
  state(): BreakerState;
  /** True if a call may be sent; its result must then be recorded. */
  admit(): boolean;
  /** Records that an admitted call succeeded, which closes the breaker. */
  succeeded(): void;
  failed(): void;
  /** Time until the open period ends; 0 once it has ended. */
  retryAfter(): Milliseconds;
}

/** Configures when a breaker opens and for how long. */
export interface CircuitBreakerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Consecutive failures that open the breaker. */
  readonly failureThreshold: number;
  /** First open period; it doubles with each failed probe. */
  readonly shortestOpen: Milliseconds;
  /** Maximum open period, before the random variation. */
  readonly longestOpen: Milliseconds;
}

/** The open period varies randomly by plus or minus this share. */
const JITTER_RATIO = 0.25;

/** Creates a circuit breaker in the `closed` state. */
export function createCircuitBreaker(
  options: CircuitBreakerOptions,
): CircuitBreaker {
  const {timer, random} = options;
  let state: BreakerState = 'closed';
  let consecutiveFailures = 0;
  let openDuration = options.shortestOpen;
  let openUntil = 0;

  function open(): void {
    state = 'open';
    openUntil = timer.now() + random.jitter(openDuration, JITTER_RATIO);
    openDuration = Math.min(2 * openDuration, options.longestOpen);
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
      consecutiveFailures = 0;
      openDuration = options.shortestOpen;
    },
    failed() {
      consecutiveFailures++;
      const isLateFailure = state === 'open';
      if (
        !isLateFailure &&
        (state === 'probing' || consecutiveFailures >= options.failureThreshold)
      ) {
        open();
      }
    },
    retryAfter: () => Math.max(0, openUntil - timer.now()),
  };
}
