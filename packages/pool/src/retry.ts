/** Backoff, and a retry budget that keeps retries from multiplying the load. */
import type {Milliseconds, Random, TimerService} from '@kelpstep/runtime';

/** A token bucket: first attempts add tokens, retries consume them. */
export interface RetryBudget {
  /** Adds tokens for a first attempt. */
  deposit(): void;
  /** Consumes a token for a retry; false if there is none. */
  withdraw(): boolean;
}

/** Settings of a budget in which each retry takes one token. */
export interface RetryBudgetSettings {
  /** Tokens added per first attempt. */
  readonly ratio: number;
  /** Tokens added per second, regardless of first attempts. */
  readonly minimumPerSecond: number;
  /** Maximum number of tokens. */
  readonly capacity: number;
}

/** Allows a retry per five first attempts, and ten per second besides. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = {
  ratio: 0.2,
  minimumPerSecond: 10,
  capacity: 200,
};

const MILLISECONDS_PER_SECOND = 1000;

/** Creates a budget that starts at its capacity. */
export function createRetryBudget(
  timer: TimerService,
  settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET,
): RetryBudget {
  const {ratio, minimumPerSecond, capacity} = settings;
  let tokens = capacity;
  let updatedAt = timer.now();

  function refill(): void {
    const now = timer.now();
    const seconds = (now - updatedAt) / MILLISECONDS_PER_SECOND;
    tokens = Math.min(capacity, tokens + seconds * minimumPerSecond);
    updatedAt = now;
  }

  return {
    deposit() {
      tokens = Math.min(capacity, tokens + ratio);
    },
    withdraw() {
      refill();
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}

/** Returns the delay before a retry; `attempt` counts from 1. */
export type BackoffPolicy = (attempt: number, random: Random) => Milliseconds;

/** Bounds of an exponential backoff. */
export interface BackoffBounds {
  readonly first: Milliseconds;
  readonly longest: Milliseconds;
}

/** The delay doubles with each attempt; half of each delay is random. */
export function createExponentialBackoff(bounds: BackoffBounds): BackoffPolicy {
  return (attempt, random) => {
    const wait = Math.min(bounds.longest, bounds.first * 2 ** (attempt - 1));
    return wait * (0.5 + 0.5 * random.fraction());
  };
}
