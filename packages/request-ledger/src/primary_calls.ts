/**
 * Requests to whoever is primary: repeated over failovers, pauses and lost
 * answers until there is an answer that means something, or no time.
 */
import type {Leadership} from '@kelpstep/failover';
import type {Attempt, TargetPool, Work} from '@kelpstep/pool';
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

/** What an attempt is told. */
export interface PrimaryAttempt {
  readonly pool: TargetPool;
  readonly work: Work;
  readonly term: number;
  readonly timeout: Milliseconds;
}

/** Sends one attempt. */
export type SendAttempt<A> = (attempt: PrimaryAttempt) => Future<A>;

/** How a request to the primary ended. */
export type PrimaryOutcome<A> =
  | {
      readonly kind: 'answered';
      readonly attempt: A;
      readonly leadership: Leadership;
    }
  /** Refused for a reason that lies in the request or in the data. */
  | {
      readonly kind: 'refused';
      readonly failure: Failure;
      readonly leadership: Leadership;
    }
  /** No answer in time. The failure's `not_run` is about this call only. */
  | {readonly kind: 'gave-up'; readonly failure: Failure};

/** Calls to the primary on behalf of one request. */
export interface PrimaryCalls {
  call<A extends Attempt<unknown>>(
    send: SendAttempt<A>,
    onAbandoned?: (attempt: A) => void,
  ): Task<PrimaryOutcome<A>>;
  /** Waits for a primary as `call` does; the refusal if there is none. */
  refusal(): Task<Failure | undefined>;
  /** True if an attempt may have run, or may yet run, without our knowing. */
  mayHaveRun(): boolean;
}

/** Refusals that say who leads, or that the primary pauses; nothing ran. */
const LEADERSHIP_REFUSALS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'TERM_TOO_LOW',
  'NOT_PRIMARY',
  'WRITES_PAUSED',
]);

function isDefinite(failure: RequestFailure): boolean {
  return (
    !failure.sent ||
    (failure.kind === 'refused' && failure.failure.outcome === 'not_run')
  );
}

/** Creates the calls of one request. */
export function createPrimaryCalls(context: RequestContext): PrimaryCalls {
  const {group, runtime, policies, notes} = context;
  const {view} = group;
  const {timer, random} = runtime;
  let attempts = 0;
  let ambiguous = false;

  function outlook() {
    return {
      now: timer.now(),
      troubleSince: group.troubleSince() ?? timer.now(),
      deadline: context.deadline,
      majorityLostSince: group.majorityLostSince(),
      isCold: group.isCold(),
    };
  }

  function noPrimary(): Failure {
    const retryAfter = policies.failoverRetryAfter(outlook(), random);
    return createFailure('NO_PRIMARY', {retryAfter});
  }

  function timedOut(): Failure {
    return createFailure('TIMED_OUT');
  }

  function usableLeadership(): Leadership | undefined {
    const leadership = view.leadership();
    return leadership !== undefined &&
      group.takesWrites(leadership.primary) &&
      group.pool(leadership.primary) !== undefined &&
      reachesMajority(view)
      ? leadership
      : undefined;
  }

  /** Waits for a primary as long as that makes sense. */
  function* awaitPrimary(): Task<Leadership | undefined> {
    for (;;) {
      const leadership = usableLeadership();
      if (leadership !== undefined) {
        return leadership;
      }
      group.noteTrouble();
      if (remainingTime(context) <= 0 || !policies.awaitsFailover(outlook())) {
        return undefined;
      }
      yield* pause([nextChange(view)]);
    }
  }

  /** Waits for one of the effects or a backoff, within the deadline. */
  function* pause(effects: Parameters<typeof race>[0]): Task<void> {
    const wait = policies.backoff(Math.max(1, attempts), random);
    const limited = Math.max(0, Math.min(wait, remainingTime(context)));
    yield* perform(race([...effects, delay(limited)]));
  }

  function workOf(): Work {
    const {kind, worth, deadline} = context;
    return {kind, worth, deadline: deadline - group.confirmationTime()};
  }

  /** The attempt's end; undefined if a newer primary came first. */
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
    const future = send({pool, work: workOf(), term, timeout});
    const winner = yield* perform(
      race<unknown>([settled(future), leadershipAbove(view, term)]),
    );
    if (winner.index === 0) {
      return winner.value as A;
    }
    future.onSettled(onAbandoned);
    return undefined;
  }

  /** Notes what a failure shows, and waits before the next attempt. */
  function* afterFailure(
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
      view.observeSilence(primary);
    }
    if (!isDefinite(failure)) {
      ambiguous = true;
    }
    return yield* waitForRetry(failure, term);
  }

  function* waitForRetry(
    failure: RequestFailure,
    term: number,
  ): Task<Failure | undefined> {
    const sawLeadership = LEADERSHIP_REFUSALS.has(failure.failure.name);
    if (!sawLeadership && failure.sent) {
      return yield* spendRetry(term);
    }
    group.noteTrouble();
    if (!policies.awaitsFailover(outlook())) {
      return noPrimary();
    }
    yield* pause([leadershipAbove(view, term)]);
    return undefined;
  }

  /** A request that may have run goes on asking, if more slowly. */
  function* spendRetry(term: number): Task<Failure | undefined> {
    if (!context.retryBudget.withdraw()) {
      if (!ambiguous) {
        return createFailure('OVERLOADED', {
          retryAfter: policies.failoverRetryAfter(outlook(), random),
        });
      }
      attempts += 2;
    }
    yield* pause([leadershipAbove(view, term)]);
    return undefined;
  }

  function* call<A extends Attempt<unknown>>(
    send: SendAttempt<A>,
    onAbandoned: (attempt: A) => void = () => {},
  ): Task<PrimaryOutcome<A>> {
    for (;;) {
      const leadership = yield* awaitPrimary();
      if (leadership === undefined) {
        return {kind: 'gave-up', failure: noPrimary()};
      }
      if (remainingTime(context) <= 0) {
        return {kind: 'gave-up', failure: timedOut()};
      }
      const attempt = yield* attemptOnce(leadership, send, onAbandoned);
      if (attempt === undefined) {
        ambiguous = true;
        continue;
      }
      notes.queueTime += attempt.queueTime;
      if (attempt.reply.ok) {
        group.noteService();
        notes.servedBy = leadership.primary;
        notes.role = 'primary';
        return {kind: 'answered', attempt, leadership};
      }
      const failure = attempt.reply.val;
      if (isAboutRequest(failure)) {
        return {kind: 'refused', failure: failure.failure, leadership};
      }
      const final = yield* afterFailure(failure, leadership);
      if (final !== undefined) {
        return {kind: 'gave-up', failure: final};
      }
    }
  }

  function* refusal(): Task<Failure | undefined> {
    const leadership = yield* awaitPrimary();
    return leadership === undefined ? noPrimary() : undefined;
  }

  return {call, refusal, mayHaveRun: () => ambiguous};
}

/** True if asking another primary, or again, would not help. */
function isAboutRequest(failure: RequestFailure): boolean {
  return (
    failure.kind === 'refused' &&
    failure.sent &&
    !LEADERSHIP_REFUSALS.has(failure.failure.name) &&
    (failure.failure.outcome === 'not_run' ||
      failure.failure.name === 'KEY_EXPIRED')
  );
}
