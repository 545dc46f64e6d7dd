/** Data of a database: named values and named lists. */
import type {Scalar} from '@kelpstep/protocol';

/** Data access of statements. */
export interface Tables {
  value(key: string): Scalar | undefined;
  setValue(key: string, value: Scalar): void;
  list(name: string): readonly Scalar[];
  listLength(name: string): number;
  append(name: string, entry: Scalar): void;
}

/** Committed data, with the log position of the last write to each item. */
export interface CommittedTables extends Tables {
  /** Sets the log position of the writes that follow. */
  setPosition(position: number): void;
  /** Position of the last write to a value or list; 0 if never written. */
  versionOf(item: string): number;
  clear(): void;
}

/** Item key of a value. */
function valueItem(key: string): string {
  return `value ${key}`;
}

/** Item key of a list. */
function listItem(name: string): string {
  return `list ${name}`;
}

const EMPTY_LIST: readonly Scalar[] = [];

/** Creates empty tables. */
export function createCommittedTables(): CommittedTables {
  const values = new Map<string, Scalar>();
  const lists = new Map<string, Scalar[]>();
  const versions = new Map<string, number>();
  let position = 0;

  function append(name: string, entry: Scalar): void {
    const entries = lists.get(name);
    if (entries === undefined) {
      lists.set(name, [entry]);
    } else {
      entries.push(entry);
    }
    versions.set(listItem(name), position);
  }

  return {
    value: key => values.get(key),
    setValue(key, value) {
      values.set(key, value);
      versions.set(valueItem(key), position);
    },
    list: name => lists.get(name) ?? EMPTY_LIST,
    listLength: name => lists.get(name)?.length ?? 0,
    append,
    setPosition: newPosition => {
      position = newPosition;
    },
    versionOf: item => versions.get(item) ?? 0,
    clear() {
      values.clear();
      lists.clear();
      versions.clear();
    },
  };
}

/** View of a transaction: the committed data overlaid with its own writes. */
export interface TransactionTables extends Tables {
  /**
   * True if an item that this transaction read or wrote has been written
   * outside it since its first access.
   */
  hasConflict(): boolean;
}

/** Creates the view of a new transaction. */
export function createTransactionTables(
  committed: CommittedTables,
): TransactionTables {
  const values = new Map<string, Scalar>();
  const appended = new Map<string, Scalar[]>();
  const accessedVersions = new Map<string, number>();

  function recordAccess(item: string): void {
    if (!accessedVersions.has(item)) {
      accessedVersions.set(item, committed.versionOf(item));
    }
  }

  function hasConflict(): boolean {
    return [...accessedVersions].some(
      ([item, version]) => committed.versionOf(item) !== version,
    );
  }

  return {
    value(key) {
      recordAccess(valueItem(key));
      return values.has(key) ? values.get(key) : committed.value(key);
    },
    setValue(key, value) {
      recordAccess(valueItem(key));
      values.set(key, value);
    },
    list(name) {
      recordAccess(listItem(name));
      return [...committed.list(name), ...(appended.get(name) ?? [])];
    },
    listLength(name) {
      recordAccess(listItem(name));
      return committed.listLength(name) + (appended.get(name)?.length ?? 0);
    },
    append(name, entry) {
      recordAccess(listItem(name));
      appended.set(name, [...(appended.get(name) ?? []), entry]);
    },
    hasConflict,
  };
}
