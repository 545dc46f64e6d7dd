/**
 * Table of the open transactions of this proxy, each pinned to a connection.
 */
import {
  Execution,
  Failure,
  IdempotencyKey,
  LogPosition,
  createFailure,
  targetBegin,
  targetRollback,
} from '@kelpstep/protocol';
import {Task, createDeferred, settledFuture, waitFor} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {CommitOutcome, runCommit} from './commit';
import {awaitConfirmation} from './confirm';
import {laterLogPosition, runPinnedStatement} from './pinned_statement';
import {
  PinnedTransaction,
  isReplaced,
  monitorTransaction,
} from './pinned_transaction';
import {PrimaryAttempt, createPrimaryCalls} from './primary_calls';
import {RequestContext, remainingTime} from './request_context';
import type {
  TransactionAnswer,
  TransactionStatement,
  TransactionTable,
  TransactionTableOptions,
} from './transaction_types';

/** Creates a table, empty until the first `begin`. */
export function createTransactionTable(
  options: TransactionTableOptions,
): TransactionTable {
  const {timer} = options.runtime;
  const transactions = new Map<string, PinnedTransaction>();
  let emptySignal = createDeferred<undefined>();
  let isStopping = false;

  function transactionLost<T>(): Result<T, Failure> {
    return Err(createFailure('TRANSACTION_LOST'));
  }

  function remove(transaction: PinnedTransaction): void {
    if (!transactions.delete(transaction.id)) {
      return;
    }
    transaction.stopMonitoring();
    if (transactions.size === 0) {
      const previousSignal = emptySignal;
      emptySignal = createDeferred<undefined>();
      previousSignal.settle(undefined);
    }
  }

  function discard(transaction: PinnedTransaction, reason: string): void {
    remove(transaction);
    transaction.lease.abandon(reason);
  }

  function* begin(
    context: RequestContext,
    id: string,
    seen: LogPosition,
  ): Task<Result<LogPosition, Failure>> {
    const {view} = context.group;
    const calls = createPrimaryCalls(context);
    const refusal = yield* calls.checkPrimary();
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const freshAt = timer.now();
    const barrier = yield* waitFor(view.readBarrier(context.deadline));
    if (barrier === undefined) {
      return Err(createFailure('NO_PRIMARY'));
    }
    // The minimum position is sent in session tokens, which contain confirmed
    // positions only.
    if ((yield* awaitConfirmation(context, barrier)) !== 'confirmed') {
      return Err(createFailure('NO_PRIMARY'));
    }
    const minimumPosition = laterLogPosition(barrier, seen);
    const outcome = yield* calls.call(
      ({pool, work, term, timeout}: PrimaryAttempt) =>
        pool.lease({work, method: targetBegin, parameters: {term}, timeout}),
      lateAttempt => lateAttempt.lease?.abandon('given up'),
    );
    if (outcome.kind !== 'answered') {
      return Err({...outcome.failure, outcome: 'not_run'});
    }
    const {attempt, leadership} = outcome;
    const {reply, lease} = attempt;
    if (reply.err || lease === undefined) {
      return Err(createFailure('NO_PRIMARY'));
    }
    if (isStopping) {
      lease.abandon('stopping');
      return Err(createFailure('STOPPING'));
    }
    const now = timer.now();
    const transaction: PinnedTransaction = {
      id,
      group: context.group,
      lease,
      transaction: reply.val.transaction,
      term: leadership.term,
      primary: leadership.primary,
      minimumPosition,
      freshAt,
      lastUsedAt: now,
      expiresAt: now + options.maximumDuration,
      isBusy: false,
      stopMonitoring: () => {},
    };
    transactions.set(id, transaction);
    transaction.stopMonitoring = monitorTransaction(
      timer,
      transaction,
      options.idleTimeout,
      {
        onClosed: () => remove(transaction),
        onExpired: reason => discard(transaction, reason),
      },
    );
    return Ok(minimumPosition);
  }

  /** Reserves a transaction for one statement, which must release it. */
  function acquire(id: string): Result<PinnedTransaction, Failure> {
    const transaction = transactions.get(id);
    if (transaction === undefined) {
      return transactionLost();
    }
    if (transaction.isBusy) {
      return Err(createFailure('TRANSACTION_BUSY'));
    }
    transaction.isBusy = true;
    return Ok(transaction);
  }

  function release(transaction: PinnedTransaction): void {
    transaction.isBusy = false;
    transaction.lastUsedAt = timer.now();
    const isClosed = transaction.lease.closed.isSettled();
    if (isStopping || isClosed || isReplaced(transaction)) {
      discard(transaction, 'stopping or replaced');
    }
  }

  function* run(
    context: RequestContext,
    id: string,
    request: TransactionStatement,
  ): Task<Result<TransactionAnswer, Failure>> {
    const acquired = acquire(id);
    if (acquired.err) {
      return acquired;
    }
    const transaction = acquired.val;
    try {
      const answer = yield* runPinnedStatement(context, transaction, request);
      if (answer.err && answer.val.name === 'TRANSACTION_LOST') {
        discard(transaction, 'lost');
      }
      return answer;
    } finally {
      release(transaction);
    }
  }

  function* commit(
    context: RequestContext,
    id: string,
    key: IdempotencyKey,
  ): Task<Result<Execution, Failure>> {
    const acquired = acquire(id);
    if (acquired.err) {
      return acquired;
    }
    const transaction = acquired.val;
    const {lease, term} = transaction;
    let outcome: CommitOutcome | undefined;
    try {
      outcome = yield* runCommit(context, {
        lease,
        transaction: transaction.transaction,
        term,
        key,
      });
      return outcome.result;
    } finally {
      if (outcome?.isOpen === true) {
        release(transaction);
      } else {
        discard(transaction, 'committed or lost');
      }
    }
  }

  function* rollBack(
    context: RequestContext,
    id: string,
  ): Task<Result<LogPosition, Failure>> {
    const acquired = acquire(id);
    if (acquired.err) {
      return acquired;
    }
    const {lease, transaction, minimumPosition} = acquired.val;
    remove(acquired.val);
    yield* waitFor(
      lease.request(targetRollback, {transaction}, remainingTime(context)),
    );
    // Without an answer the connection is closed, which also rolls back the
    // transaction.
    lease.release();
    return Ok(minimumPosition);
  }

  function rollBackAll(): void {
    isStopping = true;
    for (const transaction of [...transactions.values()]) {
      if (!transaction.isBusy) {
        discard(transaction, 'stopping');
      }
    }
  }

  return {
    begin,
    has: id => transactions.has(id),
    run,
    commit,
    rollBack,
    size: () => transactions.size,
    whenEmpty: () =>
      transactions.size === 0 ? settledFuture(undefined) : emptySignal.future,
    rollBackAll,
  };
}
