/**
 * Interface of a table store with a change feed; adapters implement it.
 *
 * The store may be restored from a copy that is some seconds old. It then loses
 * the writes since the copy and gives out their versions again. The store's era
 * increases each time, so versions are comparable within an era only.
 */
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** A row of a table, or the record of its removal. */
export interface StoredRow {
  readonly key: string;
  /** Undefined if the value can't be decoded or the row was removed. */
  readonly value: unknown;
  readonly isRemoved: boolean;
  readonly version: number;
}

/** The rows of a table by key. */
export type TableRows = ReadonlyMap<string, StoredRow>;

/** Changed rows, and the table version up to which they are complete. */
export interface TableChanges {
  readonly rows: readonly StoredRow[];
  /** Era in which the store gave out the versions. */
  readonly era: number;
  readonly version: number;
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** The call was refused or not sent: it had no effect. */
  | 'refused'
  /** No response: it may have taken effect, or may still take effect. */
  | 'unanswered'
  /** The store no longer keeps all changes after the given version. */
  | 'history lost'
  /** The row does not have the expected version. */
  | 'conflict';

/** A store whose tables can be read whole, followed, and changed row by row. */
export interface TableStore {
  /** Reads all rows of a table. */
  readTable(table: string): Future<Result<TableChanges, StoreFailure>>;
  /**
   * Waits for changes after a table version; settles with no rows if there are
   * none within `wait`.
   */
  awaitChanges(
    table: string,
    after: number,
    wait: Milliseconds,
  ): Future<Result<TableChanges, StoreFailure>>;
  /**
   * Writes a row if it has the expected version (0: the row does not exist);
   * returns the new version.
   */
  replaceRow(
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): Future<Result<number, StoreFailure>>;
}
