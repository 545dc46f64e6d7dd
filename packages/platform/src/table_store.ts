/** Tables whose changes can be followed; an adapter implements them. */
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** A row as it was written. */
export interface StoredRow {
  readonly key: string;
  /** Undefined if the bytes can't be read, or the row was removed. */
  readonly value: unknown;
  readonly isRemoved: boolean;
  readonly version: number;
}

/** The rows of a table by key. */
export type TableRows = ReadonlyMap<string, StoredRow>;

/** Rows, and the version up to which they are complete. */
export interface TableChanges {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** Why a call of the store has no result. */
export type StoreFailure =
  /** Refused or not sent: nothing was done. */
  | 'refused'
  /** No answer: it may have been done, or may be done later. */
  | 'unanswered'
  /** The changes after this version are no longer kept. */
  | 'history lost'
  /** The row has another version than expected. */
  | 'conflict';

/** The platform's table service as the decisions use it. */
export interface TableStore {
  readTable(table: string): Future<Result<TableChanges, StoreFailure>>;
  /** Settles with the next changes, or with none once `wait` has passed. */
  awaitChanges(
    table: string,
    after: number,
    wait: Milliseconds,
  ): Future<Result<TableChanges, StoreFailure>>;
  /** Writes a row if it has this version (0: none yet); gives the new one. */
  replaceRow(
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): Future<Result<number, StoreFailure>>;
}
