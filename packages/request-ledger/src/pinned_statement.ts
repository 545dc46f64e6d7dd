/** Statements of a transaction. */
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

const LOST: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'TRANSACTION_LOST',
  'TRANSACTION_UNKNOWN',
  'TERM_TOO_LOW',
  'NOT_PRIMARY',
]);

/** The higher of two log positions. */
export function higher(left: LogPosition, right: LogPosition): LogPosition {
  return compareLogPositions(left, right) >= 0 ? left : right;
}

function lost<T>(): Result<T, Failure> {
  return Err(createFailure('TRANSACTION_LOST'));
}

/** Runs a statement of a transaction and waits until what it saw is confirmed. */
export function* runPinnedStatement(
  context: RequestContext,
  transaction: PinnedTransaction,
  {statement, mode, seen}: TransactionStatement,
): Task<Result<TransactionAnswer, Failure>> {
  const {lease, primary, freshAt} = transaction;
  context.notes.servedBy = primary;
  context.notes.role = 'primary';
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
    return lost();
  }
  if (reply.err) {
    return yield* concludeFailure(context, transaction, reply.val);
  }
  const execution = reply.val;
  const floor = higher(transaction.floor, seen);
  if (compareLogPositions(execution.at, floor) < 0) {
    return lost();
  }
  const fate = yield* awaitConfirmation(context, execution.at);
  if (fate === 'superseded') {
    return lost();
  }
  return fate === 'confirmed'
    ? Ok({execution, target: primary, freshAt})
    : Err(createFailure('TIMED_OUT'));
}

/** Waits for an answer; `undefined` if a newer primary comes first. */
function* untilReplaced<A>(
  {group, term}: PinnedTransaction,
  answer: Future<A>,
): Task<A | undefined> {
  const newer = leadershipAbove(group.view, term);
  const winner = yield* perform(race<unknown>([settled(answer), newer]));
  return winner.index === 0 ? (winner.value as A) : undefined;
}

function* concludeFailure(
  context: RequestContext,
  {term}: PinnedTransaction,
  failure: RequestFailure,
): Task<Result<TransactionAnswer, Failure>> {
  // Without an answer the connection is closed, which rolls back.
  if (failure.kind !== 'refused' || LOST.has(failure.failure.name)) {
    return lost();
  }
  const isCertain = yield* verifyPrimary(context, term);
  return isCertain ? Err(failure.failure) : lost();
}
