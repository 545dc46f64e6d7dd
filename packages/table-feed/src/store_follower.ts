/** Keeps a table copy up to date by long polling the store for changes. */
import type {StoreFailure, TableChanges, TableStore} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  retryBackoff,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {FeedChange, TableFeedEvents} from './feed_events';
import type {TableCopy} from './table_copy';

export interface StoreFollowerOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  readonly copy: TableCopy;
  /** Longest time that the store may hold one long poll open. */
  readonly wait: Milliseconds;
  /**
   * Delay after a change, so that changes in quick succession arrive in one
   * reply.
   */
  readonly pause: Milliseconds;
  /** Upper bound of the backoff after failures. */
  maximumRetryDelay(): Milliseconds;
  /** Called after each reply of the store that leaves the copy up to date. */
  onComplete(): void;
  readonly events: Pick<
    TableFeedEvents,
    'onFeed' | 'onHistoryLost' | 'onOlderAnswer'
  >;
}

/** Follows a table between `start` and `stop`. */
export interface StoreFollower {
  start(): void;
  stop(): void;
  /** True if the last request to the store succeeded. */
  isFollowing(): boolean;
}

/** Long poll wait while it is unknown whether the store is reachable. */
const PROBE_WAIT_MS: Milliseconds = 1;
const FIRST_RETRY_DELAY_MS: Milliseconds = 50;

/** Creates a stopped follower. */
export function createStoreFollower(
  options: StoreFollowerOptions,
): StoreFollower {
  const {runtime, store, copy, events} = options;
  const {timer, random} = runtime;
  const {table} = copy;
  let task: TaskHandle<void> | undefined;
  let isFollowing = false;
  let hasLostHistory = false;
  let failures = 0;

  function setFollowing(change: Omit<FeedChange, 'table'>): void {
    if (change.isFollowing !== isFollowing) {
      isFollowing = change.isFollowing;
      events.onFeed({table, ...change});
    }
  }

  function* readAll(): Task<Result<TableChanges, StoreFailure>> {
    const reply = yield* waitFor(store.readTable(table));
    if (reply.ok) {
      copy.take({table, ...reply.val});
    }
    return reply;
  }

  function* awaitChanges(
    after: number,
  ): Task<Result<TableChanges, StoreFailure>> {
    const wait = isFollowing ? options.wait : PROBE_WAIT_MS;
    const request = store.awaitChanges(table, after, wait);
    const reply = yield* waitFor(request);
    if (reply.ok) {
      copy.take({table, after, ...reply.val});
    }
    return reply;
  }

  function* backOff(): Task<void> {
    const bounds = {
      first: FIRST_RETRY_DELAY_MS,
      longest: options.maximumRetryDelay(),
    };
    yield* sleep(retryBackoff(bounds, failures, random));
    failures += 1;
  }

  function* pollOnce(): Task<void> {
    const knownVersion = copy.version();
    const mustRead = knownVersion === undefined || hasLostHistory;
    const requestedAt = timer.now();
    const reply = yield* mustRead ? readAll() : awaitChanges(knownVersion);
    const waited = timer.now() - requestedAt;
    if (reply.err && reply.val === 'history lost') {
      hasLostHistory = true;
      events.onHistoryLost(table, knownVersion ?? 0);
      return;
    }
    if (reply.err) {
      setFollowing({isFollowing: false, failure: reply.val, waited});
      yield* backOff();
      return;
    }
    const {version, rows} = reply.val;
    if (knownVersion !== undefined && version < knownVersion) {
      // A reply from an older state doesn't confirm that the copy is up to
      // date.
      events.onOlderAnswer(table, version, knownVersion);
      yield* backOff();
      return;
    }
    hasLostHistory = false;
    failures = 0;
    options.onComplete();
    setFollowing({isFollowing: true, waited});
    if (rows.length > 0) {
      yield* sleep(options.pause);
    }
  }

  function* follow(): Task<void> {
    for (;;) {
      yield* pollOnce();
    }
  }

  return {
    start() {
      task ??= runtime.spawn(`follow ${table}`, follow());
    },
    stop() {
      task?.cancel();
      task = undefined;
      isFollowing = false;
    },
    isFollowing: () => isFollowing,
  };
}
