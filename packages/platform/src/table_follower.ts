/** Keeps a table's rows current through the store's feed of changes. */
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  sleep,
  waitFor,
} from '@kelpstep/runtime';

import type {
  StoreFailure,
  StoredRow,
  TableChanges,
  TableStore,
} from './table_store';

/** The rows of a table by key. */
export type TableRows = ReadonlyMap<string, StoredRow>;

/** What a follower is made of. */
export interface TableFollowerOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  readonly table: string;
  /** Called with all rows at first and after each change. */
  onRows(rows: TableRows): void;
  /** The feed was lost or is back; `failure` says why it was lost. */
  onFeed(isFollowing: boolean, failure?: StoreFailure): void;
}

/** Follows a table until it is cancelled. */
export interface TableFollower {
  isFollowing(): boolean;
  /** All rows with their version; undefined before any. */
  known(): TableChanges | undefined;
  /** Takes all rows from elsewhere; false if they aren't newer. */
  offer(changes: TableChanges): boolean;
  stop(): void;
}

/**
 * Longest wait of one question. A connection that went silent is noticed that
 * much later at the worst; a configuration is to be in force three seconds
 * after it was accepted, counted from five seconds after such a loss. At 1,800
 * ms the feeds of eight proxies made two thirds of all calls of the store.
 */
const FEED_WAIT: Milliseconds = 5500;
const FIRST_PAUSE: Milliseconds = 50;
const LONGEST_PAUSE: Milliseconds = 800;
const PAUSE_JITTER = 0.3;

/** Starts to follow a table. */
export function followTable(options: TableFollowerOptions): TableFollower {
  const {runtime, store, table} = options;
  const {random} = runtime;
  const rows = new Map<string, StoredRow>();
  let version: number | undefined;
  let isFollowing = false;
  let pause = FIRST_PAUSE;

  function setFollowing(following: boolean, failure?: StoreFailure): void {
    if (following !== isFollowing) {
      isFollowing = following;
      options.onFeed(following, failure);
    }
  }

  function take(changes: TableChanges, isWhole: boolean): void {
    if (isWhole) {
      rows.clear();
    }
    for (const row of changes.rows) {
      if (row.isRemoved) {
        rows.delete(row.key);
      } else {
        rows.set(row.key, row);
      }
    }
    version = changes.version;
    if (isWhole || changes.rows.length > 0) {
      options.onRows(rows);
    }
  }

  /** Peers may have given newer rows while the store was asked. */
  function isOutdated(changes: TableChanges, isWhole: boolean): boolean {
    return version !== undefined && (isWhole || changes.version < version);
  }

  function* step(): Task<void> {
    const isWhole = version === undefined;
    const reply = yield* waitFor(
      version === undefined
        ? store.readTable(table)
        : store.awaitChanges(table, version, FEED_WAIT),
    );
    if (reply.ok) {
      pause = FIRST_PAUSE;
      setFollowing(true);
      if (!isOutdated(reply.val, isWhole)) {
        take(reply.val, isWhole);
      }
      return;
    }
    if (reply.val === 'history lost') {
      version = undefined;
      return;
    }
    setFollowing(false, reply.val);
    yield* sleep(random.jitter(pause, PAUSE_JITTER));
    pause = Math.min(LONGEST_PAUSE, pause * 2);
  }

  function* follow(): Task<void> {
    for (;;) {
      yield* step();
    }
  }

  const task: TaskHandle<void> = runtime.spawn(`follow ${table}`, follow());
  return {
    isFollowing: () => isFollowing,
    known: () =>
      version === undefined ? undefined : {rows: [...rows.values()], version},
    offer(changes) {
      if (version !== undefined && changes.version <= version) {
        return false;
      }
      take(changes, true);
      return true;
    },
    stop: task.cancel,
  };
}
