/** The transactions that a proxy holds: what the table offers. */
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

/** What a table is made of. */
export interface TransactionTableOptions {
  readonly runtime: Runtime;
  /** A transaction without a statement for this long is rolled back. */
  readonly idleTime: Milliseconds;
  /** A transaction older than this is rolled back. */
  readonly totalTime: Milliseconds;
}

/** A statement of a transaction. */
export interface TransactionStatement {
  readonly statement: Statement;
  readonly mode: StatementMode;
  /** What the session has seen: the answer must not be older. */
  readonly seen: LogPosition;
}

/** The answer to a statement of a transaction. */
export interface TransactionAnswer {
  readonly execution: Execution;
  /** Member id of the primary that holds the transaction. */
  readonly target: string;
  /** Monotonic time at which the target was the primary for certain. */
  readonly freshAt: Milliseconds;
}

/** The transactions that this proxy holds. */
export interface TransactionTable {
  /**
   * Begins a transaction that sees all that was confirmed before, and gives
   * the position of that.
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
  /** Gives the position that the transaction's begin had to see. */
  rollBack(
    context: RequestContext,
    id: string,
  ): Task<Result<LogPosition, Failure>>;
  size(): number;
  /** Settles once no transaction is open. */
  whenEmpty(): Future<undefined>;
  /** Rolls back all that no statement is running in, and the others next. */
  endAll(): void;
}
