/**
 * A local copy of a store table, and the updates that other copies of it lack.
 */
import type {StoredRow, TableRows} from '@kelpstep/platform';

import type {TableStalenessBound} from './freshness';

/** Rows that bring a copy of a table from one version to another. */
export interface TableUpdate {
  readonly table: string;
  /**
   * Lowest version of a copy that the update can be applied to; undefined if
   * `rows` is the whole table.
   */
  readonly after?: number | undefined;
  /** Version of the copy after the update. */
  readonly version: number;
  readonly rows: readonly StoredRow[];
}

/** A copy of a table. Its version never decreases. */
export interface TableCopy extends TableStalenessBound {
  rows(): TableRows;
  /**
   * Version of the table that the copy holds; undefined until the first update.
   */
  version(): number | undefined;
  /** Applies an update; returns false if this copy lacks preceding updates. */
  take(update: TableUpdate): boolean;
  /**
   * The update that a copy at a version lacks: the whole table if the version
   * is undefined or too old; undefined if nothing is missing or this copy has
   * no version.
   */
  updateSince(version: number | undefined): TableUpdate | undefined;
}

export interface TableCopyOptions extends TableStalenessBound {
  /** Called after each full update and each update with rows. */
  onRows(rows: TableRows): void;
}

/** Recent updates retained, so that subscribers rarely need the whole table. */
const RETAINED_UPDATE_COUNT = 64;

type IncrementalUpdate = TableUpdate & {readonly after: number};

export function createTableCopy(options: TableCopyOptions): TableCopy {
  const {table, stalenessBound: bound} = options;
  const rows = new Map<string, StoredRow>();
  /** Consecutive updates without a gap, up to the current version. */
  let retainedUpdates: IncrementalUpdate[] = [];
  let version: number | undefined;

  function applyRows(changed: readonly StoredRow[]): void {
    for (const row of changed) {
      if (row.isRemoved) {
        rows.delete(row.key);
      } else {
        rows.set(row.key, row);
      }
    }
  }

  function take(update: TableUpdate): boolean {
    const isFullUpdate = update.after === undefined;
    if (!isFullUpdate && (version === undefined || update.after > version)) {
      return false;
    }
    if (version !== undefined && update.version <= version) {
      return true;
    }
    if (isFullUpdate || version === undefined) {
      rows.clear();
      retainedUpdates = [];
    } else {
      retainedUpdates = [...retainedUpdates, {...update, after: version}].slice(
        -RETAINED_UPDATE_COUNT,
      );
    }
    applyRows(update.rows);
    version = update.version;
    if (isFullUpdate || update.rows.length > 0) {
      options.onRows(rows);
    }
    return true;
  }

  function updateSince(after: number | undefined): TableUpdate | undefined {
    if (version === undefined || (after !== undefined && after >= version)) {
      return undefined;
    }
    const first = retainedUpdates[0]?.after ?? version;
    if (after === undefined || after < first) {
      return {table, version, rows: [...rows.values()]};
    }
    const missing = retainedUpdates.filter(update => update.version > after);
    return {
      table,
      after,
      version,
      rows: missing.flatMap(update => update.rows),
    };
  }

  return {
    table,
    stalenessBound: bound,
    rows: () => rows,
    version: () => version,
    take,
    updateSince,
  };
}
