/**
 * Sends requests to the current primary and retries them after failovers, write
 * pauses and lost answers until there is a conclusive answer or the deadline
 * has passed.
 */
import type {Leadership} from '@kelpstep/failover';
import type {Attempt, RequestAttributes, TargetPool} from '@kelpstep/pool';
import {ErrorName, Failure, createFailure} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  Task,
  delay,
  perform,
  race,
  settled,
} from '@kelpstep/runtime';

import {leadershipAbove, nextChange, reachesMajority} from './group_access';
import {RequestContext, remainingTime} from './request_context';

/** Parameters with which one attempt is sent; `timeout` is in milliseconds. */
export interface PrimaryAttempt {
  readonly pool: TargetPool;
  readonly work: RequestAttributes;
  readonly term: number;
  readonly timeout: Milliseconds;
}

/** Sends one attempt, normally through its pool, and returns the answer. */
export type SendAttempt<A> = (attempt: PrimaryAttempt) => Future<A>;

/** Result of a request to the primary, after any number of attempts. */
export type PrimaryOutcome<A> =
  | {
      readonly kind: 'answered';
      readonly attempt: A;
      readonly leadership: Leadership;
    }
  /** The request was refused because of its parameters or the data. */
  | {
      readonly kind: 'refused';
      readonly failure: Failure;
      readonly leadership: Leadership;
    }
  /**
   * There was no conclusive answer. A failure outcome of `not_run` does not
   * cover earlier attempts; see `mayHaveRun`.
   */
  | {readonly kind: 'gave-up'; readonly failure: Failure};

/** Calls to the primary on behalf of one request. */
export interface PrimaryCalls {
  call<A extends Attempt<unknown>>(
    send: SendAttempt<A>,
    onAbandoned?: (attempt: A) => void,
  ): Task<PrimaryOutcome<A>>;
  /** Waits for a primary as `call` does; returns a failure if none is found. */
  checkPrimary(): Task<Failure | undefined>;
  /** True if an attempt without a known outcome may have run or may still run. */
  mayHaveRun(): boolean;
}

/**
 * Refusals due to a change of primary or paused writes; the request has not
 * run.
 */
const LEADERSHIP_REFUSALS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'TERM_TOO_LOW',
  'NOT_PRIMARY',
  'WRITES_PAUSED',
]);

function isKnownNotRun(failure: RequestFailure): boolean {
  return (
    !failure.sent ||
    (failure.kind === 'refused' && failure.failure.outcome === 'not_run')
  );
}

export function createPrimaryCalls(context: RequestContext): PrimaryCalls {
  const {group, runtime, policies, metadata: notes} = context;
  const {view} = group;
  const {timer, random} = runtime;
  let attempts = 0;
  let isAmbiguous = false;

  function failoverConditions() {
    return {
      now: timer.now(),
      troubleSince: group.troubleSince() ?? timer.now(),
      deadline: context.deadline,
      majorityLostSince: group.majorityLostSince(),
      isCold: group.isCold(),
    };
  }

  function createNoPrimaryFailure(): Failure {
    if (group.isLearningPrimary()) {
      const message = 'The primary is not known here yet; use another.';
      return createFailure('NOT_READY', {message});
    }
    const retryAfter = policies.failoverRetryAfter(
      failoverConditions(),
      random,
    );
    return createFailure('NO_PRIMARY', {retryAfter});
  }

  function createTimeoutFailure(): Failure {
    return createFailure('TIMED_OUT');
  }

  function usableLeadership(): Leadership | undefined {
    const leadership = view.leadership();
    return leadership !== undefined &&
      group.acceptsWrites(leadership.primary) &&
      group.pool(leadership.primary) !== undefined &&
      reachesMajority(view)
      ? leadership
      : undefined;
  }

  /** Waits for a usable primary as long as the policies allow. */
  function* awaitPrimary(): Task<Leadership | undefined> {
    for (;;) {
      const leadership = usableLeadership();
      if (leadership !== undefined) {
        return leadership;
      }
      group.reportPrimaryUnavailable();
      if (
        remainingTime(context) <= 0 ||
        !policies.shouldAwaitFailover(failoverConditions())
      ) {
        return undefined;
      }
      yield* backOff([nextChange(view)]);
    }
  }

  /** Waits for one of the effects or for the backoff, until the deadline. */
  function* backOff(effects: Parameters<typeof race>[0]): Task<void> {
    const wait = policies.backoff(Math.max(1, attempts), random);
    const limited = Math.max(0, Math.min(wait, remainingTime(context)));
    yield* perform(race([...effects, delay(limited)]));
  }

  function requestAttributes(): RequestAttributes {
    const {kind, worth, deadline} = context;
    return {kind, worth, deadline: deadline - group.confirmationTime()};
  }

  /**
   * Returns the finished attempt, or `undefined` if a newer primary is known
   * first; `onAbandoned` then receives the attempt when it finishes.
   */
  function* attemptOnce<A extends Attempt<unknown>>(
    {term, primary}: Leadership,
    send: SendAttempt<A>,
    onAbandoned: (attempt: A) => void,
  ): Task<A | undefined> {
    const pool = group.pool(primary) as TargetPool;
    const timeout = policies.attemptTimeout({
      remaining: remainingTime(context),
      expected: pool.expectedTime(context.kind),
    });
    attempts += 1;
    notes.retries = attempts - 1;
    const future = send({pool, work: requestAttributes(), term, timeout});
    const winner = yield* perform(
      race<unknown>([settled(future), leadershipAbove(view, term)]),
    );
    if (winner.index === 0) {
      return winner.value as A;
    }
    future.onSettled(onAbandoned);
    return undefined;
  }

  /**
   * Updates the view from a failure and waits before the next attempt. Returns
   * the failure to report if the request must not be retried.
   */
  function* handleFailure(
    failure: RequestFailure,
    {term, primary}: Leadership,
  ): Task<Failure | undefined> {
    const {name} = failure.failure;
    if (name === 'OVERLOADED' && !failure.sent) {
      return failure.failure;
    }
    if (failure.failure.term !== undefined) {
      view.observeTerm(failure.failure.term);
    }
    if (failure.kind === 'timeout' || failure.kind === 'closed') {
      view.reportUnresponsive(primary);
    }
    if (!isKnownNotRun(failure)) {
      isAmbiguous = true;
    }
    return yield* waitForRetry(failure, term);
  }

  function* waitForRetry(
    failure: RequestFailure,
    term: number,
  ): Task<Failure | undefined> {
    const isLeadershipRefusal = LEADERSHIP_REFUSALS.has(failure.failure.name);
    if (!isLeadershipRefusal && failure.sent) {
      return yield* retryWithinBudget(term);
    }
    group.reportPrimaryUnavailable();
    if (!policies.shouldAwaitFailover(failoverConditions())) {
      return createNoPrimaryFailure();
    }
    yield* backOff([leadershipAbove(view, term)]);
    return undefined;
  }

  /**
   * Takes a retry from the budget. With an empty budget, a request that may
   * have run is still retried, but after a longer backoff.
   */
  function* retryWithinBudget(term: number): Task<Failure | undefined> {
    if (!context.retryBudget.withdraw()) {
      if (!isAmbiguous) {
        return createFailure('OVERLOADED', {
          retryAfter: policies.failoverRetryAfter(failoverConditions(), random),
        });
      }
      attempts += 2;
    }
    yield* backOff([leadershipAbove(view, term)]);
    return undefined;
  }

  function* call<A extends Attempt<unknown>>(
    send: SendAttempt<A>,
    onAbandoned: (attempt: A) => void = () => {},
  ): Task<PrimaryOutcome<A>> {
    for (;;) {
      const leadership = yield* awaitPrimary();
      if (leadership === undefined) {
        return {kind: 'gave-up', failure: createNoPrimaryFailure()};
      }
      if (remainingTime(context) <= 0) {
        return {kind: 'gave-up', failure: createTimeoutFailure()};
      }
      const attempt = yield* attemptOnce(leadership, send, onAbandoned);
      if (attempt === undefined) {
        isAmbiguous = true;
        continue;
      }
      notes.queueTime += attempt.queueTime;
      if (attempt.reply.ok) {
        group.reportPrimaryAvailable();
        notes.servedBy = leadership.primary;
        notes.role = 'primary';
        return {kind: 'answered', attempt, leadership};
      }
      const failure = attempt.reply.val;
      if (isRequestError(failure)) {
        return {kind: 'refused', failure: failure.failure, leadership};
      }
      const final = yield* handleFailure(failure, leadership);
      if (final !== undefined) {
        return {kind: 'gave-up', failure: final};
      }
    }
  }

  function* checkPrimary(): Task<Failure | undefined> {
    const leadership = yield* awaitPrimary();
    return leadership === undefined ? createNoPrimaryFailure() : undefined;
  }

  return {call, checkPrimary, mayHaveRun: () => isAmbiguous};
}

/** True if a retry, or another primary, would refuse the request again. */
function isRequestError(failure: RequestFailure): boolean {
  return (
    failure.kind === 'refused' &&
    failure.sent &&
    !LEADERSHIP_REFUSALS.has(failure.failure.name) &&
    (failure.failure.outcome === 'not_run' ||
      failure.failure.name === 'KEY_EXPIRED')
  );
}
