/** Keeps a copy current through the store's feed of changes. */
import type {StoreFailure, TableChanges, TableStore} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  retryPause,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {FeedChange, TableFeedEvents} from './feed_events';
import type {TableCopy} from './table_copy';

/** What a follower is made of. */
export interface StoreFollowerOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  readonly copy: TableCopy;
  /** Longest wait of one question. */
  readonly wait: Milliseconds;
  /** Pause after changes, so that those in quick succession come together. */
  readonly pause: Milliseconds;
  /** Longest pause after failures. */
  longestRetry(): Milliseconds;
  /** The store answered: the copy is complete. */
  onComplete(): void;
  readonly events: Pick<
    TableFeedEvents,
    'onFeed' | 'onHistoryLost' | 'onOlderAnswer'
  >;
}

/** Follows a table while it is told to. */
export interface StoreFollower {
  start(): void;
  stop(): void;
  /** True while the store answers. */
  isFollowing(): boolean;
}

/** Wait of a question that is to tell whether the store is there. */
const SHORTEST_WAIT: Milliseconds = 1;
const FIRST_RETRY: Milliseconds = 50;

/** Creates a follower that doesn't follow yet. */
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

  function* read(): Task<Result<TableChanges, StoreFailure>> {
    const reply = yield* waitFor(store.readTable(table));
    if (reply.ok) {
      copy.take({table, ...reply.val});
    }
    return reply;
  }

  function* awaitChanges(
    after: number,
  ): Task<Result<TableChanges, StoreFailure>> {
    const wait = isFollowing ? options.wait : SHORTEST_WAIT;
    const question = store.awaitChanges(table, after, wait);
    const reply = yield* waitFor(question);
    if (reply.ok) {
      copy.take({table, after, ...reply.val});
    }
    return reply;
  }

  function* pauseAfterFailure(): Task<void> {
    const bounds = {first: FIRST_RETRY, longest: options.longestRetry()};
    yield* sleep(retryPause(bounds, failures, random));
    failures += 1;
  }

  function* step(): Task<void> {
    const known = copy.version();
    const mustRead = known === undefined || hasLostHistory;
    const askedAt = timer.now();
    const reply = yield* mustRead ? read() : awaitChanges(known);
    const waited = timer.now() - askedAt;
    if (reply.err && reply.val === 'history lost') {
      hasLostHistory = true;
      events.onHistoryLost(table, known ?? 0);
      return;
    }
    if (reply.err) {
      setFollowing({isFollowing: false, failure: reply.val, waited});
      yield* pauseAfterFailure();
      return;
    }
    const {version, rows} = reply.val;
    if (known !== undefined && version < known) {
      // It proves nothing of what has been confirmed since.
      events.onOlderAnswer(table, version, known);
      yield* pauseAfterFailure();
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
      yield* step();
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
