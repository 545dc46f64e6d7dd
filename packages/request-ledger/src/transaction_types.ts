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

/** Limits of transactions in milliseconds; `runtime` supplies the clock. */
export interface TransactionTableOptions {
  readonly runtime: Runtime;
  /** Time without a statement after which a transaction is rolled back. */
  readonly idleTimeout: Milliseconds;
  /** Age at which a transaction is rolled back. */
  readonly maximumDuration: Milliseconds;
}

export interface TransactionStatement {
  readonly statement: Statement;
  readonly mode: StatementMode;
  /** Position in the session's token. The answer must not be older. */
  readonly seen: LogPosition;
}

export interface TransactionAnswer {
  readonly execution: Execution;
  /** Member id of the primary in which the transaction is open. */
  readonly target: string;
  /**
   * Monotonic time at which `begin` requested its read barrier. The answer
   * includes every record that was confirmed by then.
   */
  readonly freshAt: Milliseconds;
}

/** Open transactions of this proxy, by transaction id. */
export interface TransactionTable {
  /**
   * Begins a transaction whose statements read every record confirmed before
   * this call and every record up to the position `seen`. Returns the minimum
   * log position of its statements.
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
  /** Rolls the transaction back. Returns the position that `begin` returned. */
  rollBack(
    context: RequestContext,
    id: string,
  ): Task<Result<LogPosition, Failure>>;
  size(): number;
  /** Settles once no transaction is open; immediately if there is none. */
  whenEmpty(): Future<undefined>;
  /**
   * Rolls back every transaction: at once if it is idle, otherwise when its
   * running statement ends. New transactions are then refused with `STOPPING`.
   */
  rollBackAll(): void;
}
