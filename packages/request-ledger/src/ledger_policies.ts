/** Policies of requests to a primary, each a function passed in. */
import {BackoffPolicy, createExponentialBackoff} from '@kelpstep/pool';
import type {Milliseconds, Random} from '@kelpstep/runtime';

/** What is known when a request finds no primary. */
export interface FailoverOutlook {
  readonly now: Milliseconds;
  /** When requests of the group began to find none. */
  readonly troubleSince: Milliseconds;
  readonly deadline: Milliseconds;
  /** Since when no majority is reachable; undefined while one is. */
  readonly majorityLostSince: Milliseconds | undefined;
  /** True while the view of a group that was idle is still being opened. */
  readonly isCold: boolean;
}

/** What is known when an attempt starts. */
export interface AttemptOutlook {
  /** Time until the request's deadline. */
  readonly remaining: Milliseconds;
  /** Predicted time until the target answers. */
  readonly expected: Milliseconds;
}

/** Policies of requests to a primary. */
export interface LedgerPolicies {
  /** True if waiting for a failover makes sense. */
  awaitsFailover(outlook: FailoverOutlook): boolean;
  /** How long to wait for one answer before asking again. */
  attemptTimeout(outlook: AttemptOutlook): Milliseconds;
  /** Waits between attempts. */
  readonly backoff: BackoffPolicy;
  /** When a caller that found no primary is to come back. */
  failoverRetryAfter(outlook: FailoverOutlook, random: Random): Milliseconds;
}

/** A failover is usually over after this. */
export const TYPICAL_FAILOVER: Milliseconds = 1_000;
/** A failover that takes longer is not waited for. */
export const LONGEST_FAILOVER: Milliseconds = 5_000;
/** Without a majority for this long there won't be a failover soon. */
export const MAJORITY_LOSS_PATIENCE: Milliseconds = 500;

const EXPECTED_TIMES_TOLERATED = 20;
const SHORTEST_ATTEMPT: Milliseconds = 300;

function awaitsFailover(outlook: FailoverOutlook): boolean {
  const {now, troubleSince, deadline, majorityLostSince, isCold} = outlook;
  if (isCold) {
    return true;
  }
  const lostSince = majorityLostSince ?? now;
  if (now - lostSince > MAJORITY_LOSS_PATIENCE) {
    return false;
  }
  const isInTime = deadline > troubleSince + TYPICAL_FAILOVER;
  return isInTime && now - troubleSince < LONGEST_FAILOVER;
}

function failoverRetryAfter(
  {now, troubleSince}: FailoverOutlook,
  random: Random,
): Milliseconds {
  const rest = Math.max(0, troubleSince + TYPICAL_FAILOVER - now);
  return Math.round(rest + TYPICAL_FAILOVER * random.fraction());
}

/**
 * Long enough for a slow answer, short enough that a connection that went
 * silent leaves time for another attempt.
 */
function attemptTimeout({remaining, expected}: AttemptOutlook): Milliseconds {
  const patience = Math.max(
    SHORTEST_ATTEMPT,
    EXPECTED_TIMES_TOLERATED * expected,
  );
  return Math.min(remaining, patience);
}

/** Policies unless others are passed. */
export const DEFAULT_LEDGER_POLICIES: LedgerPolicies = {
  awaitsFailover,
  attemptTimeout,
  backoff: createExponentialBackoff({first: 5, longest: 200}),
  failoverRetryAfter,
};
