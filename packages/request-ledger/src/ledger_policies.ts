/** Policies of requests to a primary: waiting, attempt time-outs and backoff. */
import {BackoffPolicy, createExponentialBackoff} from '@kelpstep/pool';
import type {Milliseconds, Random} from '@kelpstep/runtime';

/**
 * State from which the policies compute whether a request without a primary
 * waits for a failover. Points in time are monotonic.
 */
export interface FailoverConditions {
  readonly now: Milliseconds;
  /** Monotonic time since which the group's requests have found no primary. */
  readonly troubleSince: Milliseconds;
  readonly deadline: Milliseconds;
  /**
   * Monotonic time since which no majority is reachable; `undefined` while one
   * is.
   */
  readonly majorityLostSince: Milliseconds | undefined;
  /** True while the group's view is being opened after the group was idle. */
  readonly isCold: boolean;
}

/** Durations from which an attempt's time-out is computed. */
export interface AttemptConditions {
  /** Time until the request's deadline. */
  readonly remaining: Milliseconds;
  /** Predicted time until the target answers. */
  readonly expected: Milliseconds;
}

/** Replaceable policies of requests to a primary. */
export interface LedgerPolicies {
  /** True if the request should wait for a failover. */
  shouldAwaitFailover(conditions: FailoverConditions): boolean;
  /** Returns the time after which an attempt without an answer is abandoned. */
  attemptTimeout(conditions: AttemptConditions): Milliseconds;
  /** Returns the backoff before the next attempt. */
  readonly backoff: BackoffPolicy;
  /**
   * Returns the delay after which a caller whose request found no primary
   * should retry.
   */
  failoverRetryAfter(
    conditions: FailoverConditions,
    random: Random,
  ): Milliseconds;
}

/** Typical duration of a failover, used to predict its end. */
export const TYPICAL_FAILOVER_MS: Milliseconds = 1_000;
/** Time without a primary after which requests no longer wait for one. */
export const MAXIMUM_FAILOVER_WAIT_MS: Milliseconds = 5_000;
/**
 * Time without a reachable majority after which no failover is expected soon.
 */
export const MAJORITY_LOSS_TOLERANCE_MS: Milliseconds = 500;

/** Attempt time-out in multiples of the predicted time until the answer. */
const ATTEMPT_TIMEOUT_FACTOR = 20;
const MINIMUM_ATTEMPT_TIMEOUT_MS: Milliseconds = 300;

function shouldAwaitFailover(conditions: FailoverConditions): boolean {
  const {now, troubleSince, deadline, majorityLostSince, isCold} = conditions;
  if (isCold) {
    return true;
  }
  const lostSince = majorityLostSince ?? now;
  if (now - lostSince > MAJORITY_LOSS_TOLERANCE_MS) {
    return false;
  }
  const isInTime = deadline > troubleSince + TYPICAL_FAILOVER_MS;
  return isInTime && now - troubleSince < MAXIMUM_FAILOVER_WAIT_MS;
}

function failoverRetryAfter(
  {now, troubleSince}: FailoverConditions,
  random: Random,
): Milliseconds {
  const remaining = Math.max(0, troubleSince + TYPICAL_FAILOVER_MS - now);
  return Math.round(remaining + TYPICAL_FAILOVER_MS * random.fraction());
}

/**
 * Returns a time-out that allows for a slow answer, but limits the time spent
 * on an unresponsive connection so that another attempt can follow.
 */
function attemptTimeout({
  remaining,
  expected,
}: AttemptConditions): Milliseconds {
  const timeout = Math.max(
    MINIMUM_ATTEMPT_TIMEOUT_MS,
    ATTEMPT_TIMEOUT_FACTOR * expected,
  );
  return Math.min(remaining, timeout);
}

/** Policies that apply unless they are replaced. */
export const DEFAULT_LEDGER_POLICIES: LedgerPolicies = {
  shouldAwaitFailover,
  attemptTimeout,
  backoff: createExponentialBackoff({first: 5, longest: 200}),
  failoverRetryAfter,
};
