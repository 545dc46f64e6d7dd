/** Runs the statements of transactions that are pinned to a connection. */
import {
  ErrorName,
  Failure,
  LogPosition,
  compareLogPositions,
  createFailure,
  targetExecute,
} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import {Future, Task, perform, race, settled} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {awaitConfirmation, verifyPrimary} from './confirm';
import {leadershipAbove} from './group_access';
import type {PinnedTransaction} from './pinned_transaction';
import {RequestContext, remainingTime} from './request_context';
import type {
  TransactionAnswer,
  TransactionStatement,
} from './transaction_types';

const LOST_TRANSACTION_ERRORS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'TRANSACTION_LOST',
  'TRANSACTION_UNKNOWN',
  'TERM_TOO_LOW',
  'NOT_PRIMARY',
]);

export function laterLogPosition(
  left: LogPosition,
  right: LogPosition,
): LogPosition {
  return compareLogPositions(left, right) >= 0 ? left : right;
}

function transactionLost<T>(): Result<T, Failure> {
  return Err(createFailure('TRANSACTION_LOST'));
}

/**
 * Runs a statement of a transaction and waits until the log position of its
 * answer is confirmed.
 */
export function* runPinnedStatement(
  context: RequestContext,
  transaction: PinnedTransaction,
  {statement, mode, seen}: TransactionStatement,
): Task<Result<TransactionAnswer, Failure>> {
  const {lease, primary, freshAt} = transaction;
  context.metadata.servedBy = primary;
  context.metadata.role = 'primary';
  const parameters = {
    statement,
    mode,
    transaction: transaction.transaction,
  };
  const reply = yield* untilReplaced(
    transaction,
    lease.request(targetExecute, parameters, remainingTime(context)),
  );
  if (reply === undefined) {
    return transactionLost();
  }
  if (reply.err) {
    return yield* resolveFailure(context, transaction, reply.val);
  }
  const execution = reply.val;
  const minimumPosition = laterLogPosition(transaction.minimumPosition, seen);
  if (compareLogPositions(execution.at, minimumPosition) < 0) {
    return transactionLost();
  }
  const confirmation = yield* awaitConfirmation(context, execution.at);
  if (confirmation === 'superseded') {
    return transactionLost();
  }
  return confirmation === 'confirmed'
    ? Ok({execution, target: primary, freshAt})
    : Err(createFailure('TIMED_OUT'));
}

/** Returns `undefined` if a newer primary is known before the answer arrives. */
function* untilReplaced<A>(
  {group, term}: PinnedTransaction,
  answer: Future<A>,
): Task<A | undefined> {
  const newerLeadership = leadershipAbove(group.view, term);
  const winner = yield* perform(
    race<unknown>([settled(answer), newerLeadership]),
  );
  return winner.index === 0 ? (winner.value as A) : undefined;
}

function* resolveFailure(
  context: RequestContext,
  {term}: PinnedTransaction,
  failure: RequestFailure,
): Task<Result<TransactionAnswer, Failure>> {
  // Without an answer the connection is closed, which rolls back the
  // transaction.
  if (
    failure.kind !== 'refused' ||
    LOST_TRANSACTION_ERRORS.has(failure.failure.name)
  ) {
    return transactionLost();
  }
  const isVerified = yield* verifyPrimary(context, term);
  return isVerified ? Err(failure.failure) : transactionLost();
}
