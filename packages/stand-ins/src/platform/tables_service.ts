/** The platform's table service: versioned rows. */
import type {ListedRow, TableRow} from '@kelpstep/protocol';
import {Err, Ok, Result} from 'ts-results';

/** Versioned rows, by table and key. */
export interface TablesService {
  /** Reads a row; version 0 and value null if it doesn't exist. */
  readRow(table: string, key: string): TableRow;
  /**
   * Writes a row if it has the expected version. Returns the new version, or
   * the current version as the error.
   */
  writeRow(
    table: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): Result<number, number>;
  /** Returns rows with keys greater than `after`, in key order. */
  listRows(table: string, after: string, limit: number): ListedRow[];
}

interface StoredRow {
  readonly version: number;
  /** JSON text, so that no objects are shared with callers. */
  readonly text: string;
}

interface Table {
  readonly rows: Map<string, StoredRow>;
  /** Sorted keys; `undefined` if a key was added since the last listing. */
  sortedKeys: string[] | undefined;
}

/** Index of the first key that is greater than `after`. */
function firstIndexAfter(keys: readonly string[], after: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((keys[middle] ?? '') <= after) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Creates a table service without tables. */
export function createTablesService(): TablesService {
  const tables = new Map<string, Table>();

  function getOrCreateTable(name: string): Table {
    let table = tables.get(name);
    if (table === undefined) {
      table = {rows: new Map(), sortedKeys: []};
      tables.set(name, table);
    }
    return table;
  }

  function readRow(table: string, key: string): TableRow {
    const row = tables.get(table)?.rows.get(key);
    return row === undefined
      ? {version: 0, value: null}
      : {version: row.version, value: JSON.parse(row.text)};
  }

  function writeRow(
    name: string,
    key: string,
    expectedVersion: number,
    value: unknown,
  ): Result<number, number> {
    const table = getOrCreateTable(name);
    const version = table.rows.get(key)?.version ?? 0;
    if (version !== expectedVersion) {
      return Err(version);
    }
    if (version === 0) {
      table.sortedKeys = undefined;
    }
    const text = JSON.stringify(value ?? null);
    table.rows.set(key, {version: version + 1, text});
    return Ok(version + 1);
  }

  function listRows(name: string, after: string, limit: number): ListedRow[] {
    const table = getOrCreateTable(name);
    const keys = (table.sortedKeys ??= [...table.rows.keys()].sort());
    const first = firstIndexAfter(keys, after);
    return keys
      .slice(first, first + limit)
      .map(key => ({key, ...readRow(name, key)}));
  }

  return {readRow, writeRow, listRows};
}
