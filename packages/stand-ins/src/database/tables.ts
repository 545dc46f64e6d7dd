/** The data of a database: values and lists by name. */
import type {Scalar} from '@kelpstep/protocol';

/** What statements read and write. */
export interface Tables {
  value(key: string): Scalar | undefined;
  setValue(key: string, value: Scalar): void;
  list(name: string): readonly Scalar[];
  listLength(name: string): number;
  append(name: string, entry: Scalar): void;
}

/** The committed data. */
export interface CommittedTables extends Tables {
  /** Names the log position of the writes that follow. */
  setPosition(position: number): void;
  /** Position of the last write to a value or list; 0 if there is none. */
  versionOf(item: string): number;
  clear(): void;
}

/** Names the item of a value. */
function valueItem(key: string): string {
  return `value ${key}`;
}

/** Names the item of a list. */
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

/** A transaction's view: the committed data under its own writes. */
export interface TransactionTables extends Tables {
  /** True if another wrote, since, what this transaction read or wrote. */
  hasConflict(): boolean;
}

/** Creates the view of a transaction that begins now. */
export function createTransactionTables(
  committed: CommittedTables,
): TransactionTables {
  const values = new Map<string, Scalar>();
  const appended = new Map<string, Scalar[]>();
  const touched = new Map<string, number>();

  function touch(item: string): void {
    if (!touched.has(item)) {
      touched.set(item, committed.versionOf(item));
    }
  }

  function hasConflict(): boolean {
    return [...touched].some(
      ([item, version]) => committed.versionOf(item) !== version,
    );
  }

  return {
    value(key) {
      touch(valueItem(key));
      return values.has(key) ? values.get(key) : committed.value(key);
    },
    setValue(key, value) {
      touch(valueItem(key));
      values.set(key, value);
    },
    list(name) {
      touch(listItem(name));
      return [...committed.list(name), ...(appended.get(name) ?? [])];
    },
    listLength(name) {
      touch(listItem(name));
      return committed.listLength(name) + (appended.get(name)?.length ?? 0);
    },
    append(name, entry) {
      touch(listItem(name));
      appended.set(name, [...(appended.get(name) ?? []), entry]);
    },
    hasConflict,
  };
}
