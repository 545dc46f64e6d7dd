/** Retries: a budget that stops them from multiplying load, and backoff. */
import type {Milliseconds, Random, TimerService} from '@kelpstep/runtime';

/** A token bucket that first attempts fill and retries empty. */
export interface RetryBudget {
  /** Tells of a first attempt. */
  deposit(): void;
  /** Takes a retry out; false if the budget is spent. */
  withdraw(): boolean;
}

/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries that each first attempt allows. */
  readonly ratio: number;
  /** Retries per second that are always allowed. */
  readonly minimumPerSecond: number;
  /** Retries that may be saved up. */
  readonly capacity: number;
}

/** Settings unless others are passed. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = {
  ratio: 0.2,
  minimumPerSecond: 10,
  capacity: 200,
};

const MILLISECONDS_PER_SECOND = 1000;

/** Creates a full budget. */
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

/** Gives the wait before a retry; `attempt` counts from 1. */
export type BackoffPolicy = (attempt: number, random: Random) => Milliseconds;

/** Bounds of an exponential backoff. */
export interface BackoffBounds {
  readonly first: Milliseconds;
  readonly longest: Milliseconds;
}

/** Doubles per attempt; half of each wait is chance. */
export function createExponentialBackoff(bounds: BackoffBounds): BackoffPolicy {
  return (attempt, random) => {
    const wait = Math.min(bounds.longest, bounds.first * 2 ** (attempt - 1));
    return wait * (0.5 + 0.5 * random.fraction());
  };
}
