/** Commits: sending them, and finding out what became of a lost one. */
import {
  Execution,
  Failure,
  IdempotencyKey,
  createFailure,
  targetCommit,
} from '@kelpstep/protocol';
import type {Lease} from '@kelpstep/pool';
import type {RequestFailure} from '@kelpstep/rpc';
import {Task, delay, perform, race, settled} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {awaitConfirmation} from './confirm';
import {leadershipAbove} from './group_access';
import {RequestContext, remainingTime} from './request_context';
import {settleKey} from './settle_key';
import {outcomeUnknown} from './write';

/** A transaction that is to be committed. */
export interface CommitRequest {
  readonly lease: Lease;
  /** The target's id of the transaction. */
  readonly transaction: string;
  /** Term in which it was begun. */
  readonly term: number;
  readonly key: IdempotencyKey;
}

/** What became of a commit. */
export interface CommitEnd {
  readonly result: Result<Execution, Failure>;
  /** True if the transaction is still open: the commit may be sent again. */
  readonly isOpen: boolean;
}

function ended(result: Result<Execution, Failure>): CommitEnd {
  return {result, isOpen: false};
}

/**
 * Commits and waits for the confirmation. The lease is given back or closed,
 * unless the transaction is still open at the end.
 */
export function* runCommit(
  context: RequestContext,
  request: CommitRequest,
): Task<CommitEnd> {
  for (;;) {
    const reply = yield* sendCommit(context, request);
    if (reply === undefined || reply.err) {
      if (reply !== undefined && isPaused(reply.val)) {
        if (yield* waitWhilePaused(context, request)) {
          continue;
        }
        return {result: Err(createFailure('TIMED_OUT')), isOpen: true};
      }
      request.lease.abandon('commit failed or in doubt');
      return ended(yield* concludeFailure(context, request, reply?.val));
    }
    request.lease.release();
    return ended(yield* concludeAnswer(context, request, reply.val));
  }
}

/** The answer; `undefined` if a newer primary came first. */
function* sendCommit(
  context: RequestContext,
  {lease, transaction, key, term}: CommitRequest,
): Task<Result<Execution, RequestFailure> | undefined> {
  const timeout = context.policies.attemptTimeout({
    remaining: Math.max(0, remainingTime(context)),
    expected: 0,
  });
  const reply = lease.request(targetCommit, {transaction, key}, timeout);
  const winner = yield* perform(
    race<unknown>([settled(reply), leadershipAbove(context.group.view, term)]),
  );
  return winner.index === 0
    ? (winner.value as Result<Execution, RequestFailure>)
    : undefined;
}

function isPaused(failure: RequestFailure): boolean {
  return failure.failure.name === 'WRITES_PAUSED';
}

/** Waits a little; false if the deadline comes first. */
function* waitWhilePaused(
  context: RequestContext,
  {term}: CommitRequest,
): Task<boolean> {
  const {policies, runtime, group} = context;
  const wait = policies.backoff(1, runtime.random);
  if (remainingTime(context) <= wait) {
    return false;
  }
  yield* perform(
    race<unknown>([delay(wait), leadershipAbove(group.view, term)]),
  );
  return true;
}

function* concludeAnswer(
  context: RequestContext,
  {key}: CommitRequest,
  execution: Execution,
): Task<Result<Execution, Failure>> {
  const fate = yield* awaitConfirmation(context, execution.at);
  if (fate === 'confirmed') {
    return Ok(execution);
  }
  // A superseded record is gone for good, and its transaction with it.
  return fate === 'superseded'
    ? Err(createFailure('TRANSACTION_LOST'))
    : Err(outcomeUnknown(key));
}

function* concludeFailure(
  context: RequestContext,
  {key}: CommitRequest,
  failure: RequestFailure | undefined,
): Task<Result<Execution, Failure>> {
  const isDefinite =
    failure !== undefined &&
    (!failure.sent ||
      (failure.kind === 'refused' && failure.failure.outcome === 'not_run'));
  if (!isDefinite) {
    return yield* resolveCommit(context, [key]);
  }
  // The one commit of the transaction was refused: it is rolled back.
  const isOwnFault =
    failure.failure.name === 'STATEMENT_FAILED' ||
    failure.failure.name === 'KEY_MISMATCH';
  return Err(isOwnFault ? failure.failure : createFailure('TRANSACTION_LOST'));
}

/**
 * Finds what became of a commit that was sent under one of the keys; one that
 * had not arrived never will. The keys are all under which it may have been
 * sent.
 */
export function* resolveCommit(
  context: RequestContext,
  keys: readonly IdempotencyKey[],
): Task<Result<Execution, Failure>> {
  for (const key of keys) {
    const settledKey = yield* settleKey(context, key);
    if (settledKey.err) {
      return settledKey;
    }
    if (settledKey.val.state === 'recorded') {
      return Ok(settledKey.val.execution);
    }
  }
  return Err(createFailure('TRANSACTION_LOST'));
}
