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

/** A version, and the era in which the store gave it out. */
export interface StorePosition {
  readonly era: number;
  readonly version: number;
}

/** Negative if `left` is before `right`, 0 if they are equal. */
export function compareStorePositions(
  left: StorePosition,
  right: StorePosition,
): number {
  return left.era - right.era || left.version - right.version;
}

/** Changed rows, and the position up to which they are complete. */
export interface TableChanges extends StorePosition {
  readonly rows: readonly StoredRow[];
}

/** A row that must have a version for a write; 0: it does not exist. */
export interface RowPrecondition {
  readonly table: string;
  readonly key: string;
  readonly version: number;
}

/** A row to be written. */
export interface RowValue {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
}

/** Rows that are all written if all preconditions hold, or none of them. */
export interface RowTransaction {
  readonly preconditions: readonly RowPrecondition[];
  readonly puts: readonly RowValue[];
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** The call was refused or not sent: it had no effect. */
  | 'refused'
  /** No response: it may have taken effect, or may still take effect. */
  | 'unanswered'
  /** The store no longer keeps all changes after the given version. */
  | 'history lost'
  /** A row does not have the expected version. */
  | 'conflict';

/** A store whose tables can be read whole, followed, and changed row by row. */
export interface TableStore {
  /** Reads all rows of a table. */
  readTable(table: string): Future<Result<TableChanges, StoreFailure>>;
  /**
   * Waits for changes after a table version; settles with no rows if there are
   * none within `wait`. The changes are useless to a copy of another era.
   */
  awaitChanges(
    table: string,
    after: number,
    wait: Milliseconds,
  ): Future<Result<TableChanges, StoreFailure>>;
  /** Writes rows under conditions; settles with their position. */
  transact(
    transaction: RowTransaction,
  ): Future<Result<StorePosition, StoreFailure>>;
}
