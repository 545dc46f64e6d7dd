/** A copy of one of the store's tables, and what others lack of it. */
import type {StoredRow, TableRows} from '@kelpstep/platform';

import type {TablePromise} from './freshness';

/** Rows of a table that take a copy from one version to another. */
export interface TableUpdate {
  readonly table: string;
  /**
   * A copy has to be at this version or a later one; undefined if the rows are
   * the whole table.
   */
  readonly after?: number | undefined;
  /** Version of the copy with these rows. */
  readonly version: number;
  readonly rows: readonly StoredRow[];
}

/** A copy of a table. Its version only rises. */
export interface TableCopy extends TablePromise {
  rows(): TableRows;
  /** Undefined while nothing is known. */
  version(): number | undefined;
  /** Takes an update; false if this copy lacks what came before it. */
  take(update: TableUpdate): boolean;
  /** What a copy at a version lacks; undefined if it lacks nothing. */
  updateSince(version: number | undefined): TableUpdate | undefined;
}

/** What a copy is made of. */
export interface TableCopyOptions extends TablePromise {
  /** Called after each update that brought rows. */
  onRows(rows: TableRows): void;
}

/** Updates that are kept for subscribers that lack a few of them. */
const KEPT_UPDATES = 64;

type PartialUpdate = TableUpdate & {readonly after: number};

/** Creates a copy that knows nothing. */
export function createTableCopy(options: TableCopyOptions): TableCopy {
  const {table, knownWithin} = options;
  const rows = new Map<string, StoredRow>();
  /** Updates without a gap between them, the last one to this version. */
  let kept: PartialUpdate[] = [];
  let version: number | undefined;

  function put(changed: readonly StoredRow[]): void {
    for (const row of changed) {
      if (row.isRemoved) {
        rows.delete(row.key);
      } else {
        rows.set(row.key, row);
      }
    }
  }

  function take(update: TableUpdate): boolean {
    const isWhole = update.after === undefined;
    if (!isWhole && (version === undefined || update.after > version)) {
      return false;
    }
    if (version !== undefined && update.version <= version) {
      return true;
    }
    if (isWhole || version === undefined) {
      rows.clear();
      kept = [];
    } else {
      kept = [...kept, {...update, after: version}].slice(-KEPT_UPDATES);
    }
    put(update.rows);
    version = update.version;
    if (isWhole || update.rows.length > 0) {
      options.onRows(rows);
    }
    return true;
  }

  function updateSince(after: number | undefined): TableUpdate | undefined {
    if (version === undefined || (after !== undefined && after >= version)) {
      return undefined;
    }
    const first = kept[0]?.after ?? version;
    if (after === undefined || after < first) {
      return {table, version, rows: [...rows.values()]};
    }
    const missing = kept.filter(update => update.version > after);
    return {
      table,
      after,
      version,
      rows: missing.flatMap(update => update.rows),
    };
  }

  return {
    table,
    knownWithin,
    rows: () => rows,
    version: () => version,
    take,
    updateSince,
  };
}
