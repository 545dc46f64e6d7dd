/** Sends commits, and resolves the outcome of a commit without an answer. */
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
import {createOutcomeUnknownFailure} from './write';

/** A commit of a transaction that is open on the connection of `lease`. */
export interface CommitRequest {
  readonly lease: Lease;
  /** Transaction id assigned by the target. */
  readonly transaction: string;
  /** Term in which the transaction was begun. */
  readonly term: number;
  readonly key: IdempotencyKey;
}

/** Result of a commit and whether the transaction has ended. */
export interface CommitOutcome {
  readonly result: Result<Execution, Failure>;
  /** True if the transaction is still open, so the commit can be retried. */
  readonly isOpen: boolean;
}

function closedOutcome(result: Result<Execution, Failure>): CommitOutcome {
  return {result, isOpen: false};
}

/**
 * Commits and waits for the confirmation. Releases or abandons the lease,
 * unless the transaction is still open at the end.
 */
export function* runCommit(
  context: RequestContext,
  request: CommitRequest,
): Task<CommitOutcome> {
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
      return closedOutcome(yield* resolveFailure(context, request, reply?.val));
    }
    request.lease.release();
    return closedOutcome(yield* confirmExecution(context, request, reply.val));
  }
}

/** Returns `undefined` if a newer primary is known before the answer arrives. */
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

/**
 * Waits for a backoff or a newer primary. Returns false at once if the backoff
 * would reach the deadline.
 */
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

function* confirmExecution(
  context: RequestContext,
  {key}: CommitRequest,
  execution: Execution,
): Task<Result<Execution, Failure>> {
  const confirmation = yield* awaitConfirmation(context, execution.at);
  if (confirmation === 'confirmed') {
    return Ok(execution);
  }
  // A superseded record is permanently discarded, and so is its transaction.
  return confirmation === 'superseded'
    ? Err(createFailure('TRANSACTION_LOST'))
    : Err(createOutcomeUnknownFailure(key));
}

function* resolveFailure(
  context: RequestContext,
  {key}: CommitRequest,
  failure: RequestFailure | undefined,
): Task<Result<Execution, Failure>> {
  const isKnownNotRun =
    failure !== undefined &&
    (!failure.sent ||
      (failure.kind === 'refused' && failure.failure.outcome === 'not_run'));
  if (!isKnownNotRun) {
    return yield* resolveCommit(context, [key]);
  }
  // The transaction's only commit was refused, so it is rolled back.
  const isRequestError =
    failure.failure.name === 'STATEMENT_FAILED' ||
    failure.failure.name === 'KEY_MISMATCH';
  return Err(
    isRequestError ? failure.failure : createFailure('TRANSACTION_LOST'),
  );
}

/**
 * Resolves the outcome of a commit. `keys` must contain every key with which it
 * may have been sent. A commit that has not run yet is cancelled and can no
 * longer run.
 */
export function* resolveCommit(
  context: RequestContext,
  keys: readonly IdempotencyKey[],
): Task<Result<Execution, Failure>> {
  for (const key of keys) {
    const settlement = yield* settleKey(context, key);
    if (settlement.err) {
      return settlement;
    }
    if (settlement.val.state === 'recorded') {
      return Ok(settlement.val.execution);
    }
  }
  return Err(createFailure('TRANSACTION_LOST'));
}
