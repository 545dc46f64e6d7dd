/** Executes statements, transactions and settlements of idempotency keys. */
import {
  Execution,
  Failure,
  IdempotencyKey,
  KeyState,
  ParametersOf,
  ResultOf,
  createFailure,
  targetBegin,
  targetCommit,
  targetExecute,
  targetRollback,
  targetSettleKey,
} from '@kelpstep/protocol';
import {Future, settledFuture} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {JobRunner} from './job_runner';
import type {KeyedWriter} from './keyed_writer';
import type {MemberState} from './member_state';
import type {Session, Transaction} from './session';
import {PreparedStatement, prepareStatement} from './statements';
import type {Store} from './store';
import type {Transactions} from './transactions';

type Execute = ParametersOf<typeof targetExecute>;
type Commit = ParametersOf<typeof targetCommit>;
type SettleKey = ParametersOf<typeof targetSettleKey>;
type Answer<R> = Result<R, Failure>;

/** Handlers of the RPC methods that read or change data. */
export interface Executor {
  execute(parameters: Execute, session: Session): Future<Answer<Execution>>;
  begin(
    parameters: ParametersOf<typeof targetBegin>,
    session: Session,
  ): Future<Answer<ResultOf<typeof targetBegin>>>;
  commit(parameters: Commit, session: Session): Future<Answer<Execution>>;
  rollback(
    parameters: ParametersOf<typeof targetRollback>,
    session: Session,
  ): Future<Answer<ResultOf<typeof targetRollback>>>;
  settleKey(parameters: SettleKey, session: Session): Future<Answer<KeyState>>;
}

export interface ExecutorOptions {
  readonly store: Store;
  readonly member: MemberState;
  readonly transactions: Transactions;
  readonly runner: JobRunner;
  readonly writer: KeyedWriter;
}

/** Returns the term that the sender assumes; a write without one fails. */
function requireTerm(parameters: Execute): Result<number, Failure> {
  return parameters.term === undefined
    ? Err(createFailure('INVALID_PARAMETERS', {message: 'A write needs term.'}))
    : Ok(parameters.term);
}

/** Creates the executor of a database. */
export function createExecutor(options: ExecutorOptions): Executor {
  const {store, member, transactions, runner, writer} = options;

  function read(
    term: number | undefined,
    prepared: PreparedStatement,
  ): Answer<Execution> {
    if (term !== undefined && term < member.term()) {
      return Err(createFailure('TERM_TOO_LOW', {term: member.term()}));
    }
    return prepared
      .run(store.tables)
      .map(rows => ({rows, at: store.end(), duplicate: false}));
  }

  function write(parameters: Execute): Answer<Execution> {
    const {statement, key} = parameters;
    return requireTerm(parameters).andThen(term => {
      const refusal = member.checkPrimary(term);
      return refusal === undefined
        ? writer.writeOnce({
            term,
            statements: [statement],
            key,
            answersRows: true,
          })
        : Err(refusal);
    });
  }

  function runInTransaction(
    transaction: Transaction,
    parameters: Execute,
    prepared: PreparedStatement,
  ): Answer<Execution> {
    return prepared.run(transaction.tables).map(rows => {
      if (parameters.mode === 'write') {
        transaction.writes.push(parameters.statement);
      }
      return {rows, at: store.end(), duplicate: false};
    });
  }

  function executeInTransaction(
    id: string,
    parameters: Execute,
    prepared: PreparedStatement,
    session: Session,
  ): Future<Answer<Execution>> {
    if (parameters.key !== undefined) {
      const message = 'In a transaction the key goes with the commit.';
      return settledFuture(Err(createFailure('INVALID_PARAMETERS', {message})));
    }
    return runner.run({
      session,
      slotUse: 'none',
      duration: runner.serviceTime() + prepared.extraTime,
      effect: () =>
        transactions
          .find(session, id)
          .andThen(transaction =>
            runInTransaction(transaction, parameters, prepared),
          ),
    });
  }

  function execute(
    parameters: Execute,
    session: Session,
  ): Future<Answer<Execution>> {
    const {statement, mode, term, transaction} = parameters;
    const preparation = prepareStatement(statement, mode);
    if (preparation.err) {
      return settledFuture(preparation);
    }
    const prepared = preparation.val;
    if (transaction !== undefined) {
      return executeInTransaction(transaction, parameters, prepared, session);
    }
    return runner.run({
      session,
      slotUse: 'while-running',
      duration: runner.serviceTime() + prepared.extraTime,
      effect: () =>
        mode === 'read' ? read(term, prepared) : write(parameters),
    });
  }

  function checkBegin(term: number): Failure | undefined {
    return member.checkPrimary(term) ?? member.checkPause();
  }

  function begin(parameters: {readonly term: number}, session: Session) {
    const {term} = parameters;
    return runner.run({
      session,
      slotUse: 'kept',
      duration: 0,
      effect: () => {
        const refusal = checkBegin(term);
        return refusal === undefined
          ? transactions.begin(session, term).map(({id}) => ({transaction: id}))
          : Err(refusal);
      },
    });
  }

  /**
   * Commits the session's transaction. A retry that arrives after the
   * transaction has ended is answered from the recorded idempotency key.
   */
  function applyCommit(
    parameters: Commit,
    session: Session,
  ): Answer<Execution> {
    const {transaction: id, key} = parameters;
    const found = transactions.find(session, id);
    if (found.err) {
      return answerRepeatedCommit(key, found.val);
    }
    const transaction = found.val;
    const pause = member.checkPause();
    if (pause !== undefined) {
      return Err(pause);
    }
    const answer = commitTransaction(transaction, key);
    transactions.end(session);
    return answer;
  }

  function answerRepeatedCommit(
    key: IdempotencyKey | undefined,
    failure: Failure,
  ): Answer<Execution> {
    if (key === undefined) {
      return Err(failure);
    }
    if (member.role() !== 'primary') {
      return Err(createFailure('NOT_PRIMARY', {term: member.term()}));
    }
    return writer
      .check(key, undefined)
      .andThen(recorded =>
        recorded === undefined ? Err(failure) : Ok(recorded),
      );
  }

  function commitTransaction(
    transaction: Transaction,
    key: IdempotencyKey | undefined,
  ): Answer<Execution> {
    const {term, tables, writes} = transaction;
    const keyCheck =
      key === undefined ? Ok(undefined) : writer.check(key, writes);
    if (keyCheck.err || keyCheck.val !== undefined) {
      return keyCheck as Answer<Execution>;
    }
    if (tables.hasConflict()) {
      const message = 'Another wrote what this transaction used.';
      return Err(createFailure('TRANSACTION_LOST', {message}));
    }
    if (writes.length === 0 && key === undefined) {
      return Ok({rows: [], at: store.end(), duplicate: false});
    }
    return writer.writeOnce({
      term,
      statements: writes,
      key,
      answersRows: false,
    });
  }

  function commit(parameters: Commit, session: Session) {
    return runner.run({
      session,
      slotUse: 'none',
      duration: runner.serviceTime(),
      effect: () => applyCommit(parameters, session),
    });
  }

  function rollback(
    parameters: {readonly transaction: string},
    session: Session,
  ) {
    return runner.run({
      session,
      slotUse: 'none',
      duration: 0,
      effect: () =>
        transactions.find(session, parameters.transaction).map(() => {
          transactions.end(session);
          return {};
        }),
    });
  }

  function applySettlement({term, key}: SettleKey): Answer<KeyState> {
    const refusal = member.checkPrimary(term);
    return refusal === undefined ? writer.settle(term, key) : Err(refusal);
  }

  function settleKey(parameters: SettleKey, session: Session) {
    return runner.run({
      session,
      slotUse: 'while-running',
      duration: runner.serviceTime(),
      effect: () => applySettlement(parameters),
    });
  }

  return {execute, begin, commit, rollback, settleKey};
}
