/** The transactions that this proxy holds, each pinned to a connection. */
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

import {CommitEnd, runCommit} from './commit';
import {awaitConfirmation} from './confirm';
import {higher, runPinnedStatement} from './pinned_statement';
import {
  PinnedTransaction,
  isReplaced,
  watchTransaction,
} from './pinned_transaction';
import {PrimaryAttempt, createPrimaryCalls} from './primary_calls';
import {RequestContext, remainingTime} from './request_context';
import type {
  TransactionAnswer,
  TransactionStatement,
  TransactionTable,
  TransactionTableOptions,
} from './transaction_types';

/** Creates a table without transactions. */
export function createTransactionTable(
  options: TransactionTableOptions,
): TransactionTable {
  const {timer} = options.runtime;
  const transactions = new Map<string, PinnedTransaction>();
  let emptied = createDeferred<undefined>();
  let isEnding = false;

  function lost<T>(): Result<T, Failure> {
    return Err(createFailure('TRANSACTION_LOST'));
  }

  function forget(transaction: PinnedTransaction): void {
    if (!transactions.delete(transaction.id)) {
      return;
    }
    transaction.stopWatching();
    if (transactions.size === 0) {
      const waiting = emptied;
      emptied = createDeferred<undefined>();
      waiting.settle(undefined);
    }
  }

  function drop(transaction: PinnedTransaction, reason: string): void {
    forget(transaction);
    transaction.lease.abandon(reason);
  }

  function* begin(
    context: RequestContext,
    id: string,
    seen: LogPosition,
  ): Task<Result<LogPosition, Failure>> {
    const {view} = context.group;
    const calls = createPrimaryCalls(context);
    const refusal = yield* calls.refusal();
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const freshAt = timer.now();
    const barrier = yield* waitFor(view.readBarrier(context.deadline));
    if (barrier === undefined) {
      return Err(createFailure('NO_PRIMARY'));
    }
    // The floor goes out in tokens, which name confirmed records only.
    if ((yield* awaitConfirmation(context, barrier)) !== 'confirmed') {
      return Err(createFailure('NO_PRIMARY'));
    }
    const floor = higher(barrier, seen);
    const outcome = yield* calls.call(
      ({pool, work, term, timeout}: PrimaryAttempt) =>
        pool.lease({work, method: targetBegin, parameters: {term}, timeout}),
      late => late.lease?.abandon('given up'),
    );
    if (outcome.kind !== 'answered') {
      return Err({...outcome.failure, outcome: 'not_run'});
    }
    const {attempt, leadership} = outcome;
    const {reply, lease} = attempt;
    if (reply.err || lease === undefined) {
      return Err(createFailure('NO_PRIMARY'));
    }
    if (isEnding) {
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
      floor,
      freshAt,
      usedAt: now,
      endsAt: now + options.totalTime,
      isBusy: false,
      stopWatching: () => {},
    };
    transactions.set(id, transaction);
    transaction.stopWatching = watchTransaction(
      timer,
      transaction,
      options.idleTime,
      {
        onClosed: () => forget(transaction),
        onExpired: reason => drop(transaction, reason),
      },
    );
    return Ok(floor);
  }

  /** Takes a transaction for one statement, which must give it back. */
  function take(id: string): Result<PinnedTransaction, Failure> {
    const transaction = transactions.get(id);
    if (transaction === undefined) {
      return lost();
    }
    if (transaction.isBusy) {
      return Err(createFailure('TRANSACTION_BUSY'));
    }
    transaction.isBusy = true;
    return Ok(transaction);
  }

  function giveBack(transaction: PinnedTransaction): void {
    transaction.isBusy = false;
    transaction.usedAt = timer.now();
    const isClosed = transaction.lease.closed.isSettled();
    if (isEnding || isClosed || isReplaced(transaction)) {
      drop(transaction, 'stopping or replaced');
    }
  }

  function* run(
    context: RequestContext,
    id: string,
    request: TransactionStatement,
  ): Task<Result<TransactionAnswer, Failure>> {
    const taken = take(id);
    if (taken.err) {
      return taken;
    }
    const transaction = taken.val;
    try {
      const answer = yield* runPinnedStatement(context, transaction, request);
      if (answer.err && answer.val.name === 'TRANSACTION_LOST') {
        drop(transaction, 'lost');
      }
      return answer;
    } finally {
      giveBack(transaction);
    }
  }

  function* commit(
    context: RequestContext,
    id: string,
    key: IdempotencyKey,
  ): Task<Result<Execution, Failure>> {
    const taken = take(id);
    if (taken.err) {
      return taken;
    }
    const transaction = taken.val;
    const {lease, term} = transaction;
    let end: CommitEnd | undefined;
    try {
      end = yield* runCommit(context, {
        lease,
        transaction: transaction.transaction,
        term,
        key,
      });
      return end.result;
    } finally {
      if (end?.isOpen === true) {
        giveBack(transaction);
      } else {
        drop(transaction, 'committed or lost');
      }
    }
  }

  function* rollBack(
    context: RequestContext,
    id: string,
  ): Task<Result<LogPosition, Failure>> {
    const taken = take(id);
    if (taken.err) {
      return taken;
    }
    const {lease, transaction, floor} = taken.val;
    forget(taken.val);
    yield* waitFor(
      lease.request(targetRollback, {transaction}, remainingTime(context)),
    );
    // Without an answer the connection is closed, which rolls back too.
    lease.release();
    return Ok(floor);
  }

  function endAll(): void {
    isEnding = true;
    for (const transaction of [...transactions.values()]) {
      if (!transaction.isBusy) {
        drop(transaction, 'stopping');
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
      transactions.size === 0 ? settledFuture(undefined) : emptied.future,
    endAll,
  };
}
