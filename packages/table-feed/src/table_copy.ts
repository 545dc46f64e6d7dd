/**
 * A local copy of a store table, and the updates that other copies of it lack.
 */
import {
  type StorePosition,
  type StoredRow,
  type TableRows,
  compareStorePositions,
} from '@kelpstep/platform';

import type {TableStalenessBound} from './freshness';

/**
 * Rows that bring a copy of a table from one position to another. The position
 * of the update is that of the copy after it.
 */
export interface TableUpdate extends StorePosition {
  readonly table: string;
  /**
   * Lowest version of a copy of the same era that the update can be applied to;
   * undefined if `rows` is the whole table.
   */
  readonly after?: number | undefined;
  readonly rows: readonly StoredRow[];
}

/** Called with all rows of a copy, and the position that they are read at. */
export type RowsListener = (rows: TableRows, position: StorePosition) => void;

/** A copy of a table. Its position never decreases. */
export interface TableCopy extends TableStalenessBound {
  rows(): TableRows;
  /**
   * Position of the table that the copy holds; undefined until the first
   * update.
   */
  position(): StorePosition | undefined;
  /** Applies an update; returns false if this copy lacks preceding updates. */
  take(update: TableUpdate): boolean;
  /**
   * The update that a copy at a position lacks: the whole table if the position
   * is undefined, too old or of an earlier era; undefined if nothing is missing
   * or this copy has no position.
   */
  updateSince(position: StorePosition | undefined): TableUpdate | undefined;
}

export interface TableCopyOptions extends TableStalenessBound {
  /** Called after each full update and each update with rows. */
  readonly onRows: RowsListener;
}

/** Recent updates retained, so that subscribers rarely need the whole table. */
const RETAINED_UPDATE_COUNT = 64;

type IncrementalUpdate = TableUpdate & {readonly after: number};

export function createTableCopy(options: TableCopyOptions): TableCopy {
  const {table, stalenessBound: bound} = options;
  const rows = new Map<string, StoredRow>();
  /** Consecutive updates without a gap, up to the current version. */
  let retainedUpdates: IncrementalUpdate[] = [];
  let position: StorePosition | undefined;

  function applyRows(changed: readonly StoredRow[]): void {
    for (const row of changed) {
      if (row.isRemoved) {
        rows.delete(row.key);
      } else {
        rows.set(row.key, row);
      }
    }
  }

  /** True if an incremental update continues this copy without a gap. */
  function isContinuedBy({era, after}: TableUpdate): boolean {
    return (
      after === undefined ||
      (position !== undefined &&
        compareStorePositions({era, version: after}, position) <= 0)
    );
  }

  function take(update: TableUpdate): boolean {
    const {era, version} = update;
    const before = position;
    if (!isContinuedBy(update)) {
      return false;
    }
    if (before !== undefined && compareStorePositions(update, before) <= 0) {
      return true;
    }
    const isFullUpdate = update.after === undefined;
    if (isFullUpdate || before === undefined) {
      rows.clear();
      retainedUpdates = [];
    } else {
      retainedUpdates = [
        ...retainedUpdates,
        {...update, after: before.version},
      ].slice(-RETAINED_UPDATE_COUNT);
    }
    applyRows(update.rows);
    position = {era, version};
    if (isFullUpdate || update.rows.length > 0) {
      options.onRows(rows, position);
    }
    return true;
  }

  function updateSince(
    known: StorePosition | undefined,
  ): TableUpdate | undefined {
    if (
      position === undefined ||
      (known !== undefined && compareStorePositions(known, position) >= 0)
    ) {
      return undefined;
    }
    const first = retainedUpdates[0]?.after ?? position.version;
    const isRetained = known?.era === position.era && known.version >= first;
    if (!isRetained) {
      return {table, ...position, rows: [...rows.values()]};
    }
    const after = known.version;
    const missing = retainedUpdates.filter(update => update.version > after);
    return {
      table,
      after,
      ...position,
      rows: missing.flatMap(update => update.rows),
    };
  }

  return {
    table,
    stalenessBound: bound,
    rows: () => rows,
    position: () => position,
    take,
    updateSince,
  };
}
