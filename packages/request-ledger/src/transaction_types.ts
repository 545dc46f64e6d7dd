/** Types of the table of open transactions. */
import type {
  Execution,
  Failure,
  IdempotencyKey,
  LogPosition,
  Statement,
  StatementMode,
} from '@kelpstep/protocol';
import type {Future, Milliseconds, Runtime, Task} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {RequestContext} from './request_context';

/** Options of a transaction table. */
export interface TransactionTableOptions {
  readonly runtime: Runtime;
  /** Time without a statement after which a transaction is rolled back. */
  readonly idleTime: Milliseconds;
  /** Age at which a transaction is rolled back. */
  readonly totalTime: Milliseconds;
}

/** A statement of a transaction. */
export interface TransactionStatement {
  readonly statement: Statement;
  readonly mode: StatementMode;
  /** Log position that the session has seen. The answer must not be older. */
  readonly seen: LogPosition;
}

/** The answer to a statement of a transaction. */
export interface TransactionAnswer {
  readonly execution: Execution;
  /** Member id of the primary in which the transaction is open. */
  readonly target: string;
  /** Monotonic time at which the target was verified to be the primary. */
  readonly freshAt: Milliseconds;
}

/** The open transactions of this proxy. */
export interface TransactionTable {
  /**
   * Begins a transaction that sees every record confirmed before this call and
   * the position `seen`. Returns the minimum log position that it sees.
   */
  begin(
    context: RequestContext,
    id: string,
    seen: LogPosition,
  ): Task<Result<LogPosition, Failure>>;
  has(id: string): boolean;
  run(
    context: RequestContext,
    id: string,
    statement: TransactionStatement,
  ): Task<Result<TransactionAnswer, Failure>>;
  commit(
    context: RequestContext,
    id: string,
    key: IdempotencyKey,
  ): Task<Result<Execution, Failure>>;
  /** Returns the position that `begin` returned for the transaction. */
  rollBack(
    context: RequestContext,
    id: string,
  ): Task<Result<LogPosition, Failure>>;
  size(): number;
  /** Settles when no transaction is open. */
  whenEmpty(): Future<undefined>;
  /**
   * Rolls back every transaction: at once if it is idle, otherwise when its
   * running statement ends.
   */
  endAll(): void;
}
