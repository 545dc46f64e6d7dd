/** Keeps a table copy up to date by long polling the store for changes. */
import {
  type StoreFailure,
  type StorePosition,
  type TableChanges,
  type TableStore,
  compareStorePositions,
} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  retryBackoff,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {Err, type Result} from 'ts-results';

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
  /** Abandons the pending request, if started, and sends the next one now. */
  restart(): void;
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

  /**
   * Changes of a later era don't include what the copy lacks of that era: its
   * versions may have been given out again since.
   */
  function* awaitChanges({
    era,
    version: after,
  }: StorePosition): Task<Result<TableChanges, StoreFailure>> {
    const wait = isFollowing ? options.wait : PROBE_WAIT_MS;
    const request = store.awaitChanges(table, after, wait);
    const reply = yield* waitFor(request);
    if (reply.ok && reply.val.era > era) {
      return Err('history lost');
    }
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
    const known = copy.position();
    const mustRead = known === undefined || hasLostHistory;
    const requestedAt = timer.now();
    const reply = yield* mustRead ? readAll() : awaitChanges(known);
    const waited = timer.now() - requestedAt;
    if (reply.err && reply.val === 'history lost') {
      hasLostHistory = true;
      if (known !== undefined) {
        events.onHistoryLost(table, known);
      }
      return;
    }
    if (reply.err) {
      setFollowing({isFollowing: false, failure: reply.val, waited});
      yield* backOff();
      return;
    }
    const {rows, ...replied} = reply.val;
    if (known !== undefined && compareStorePositions(replied, known) < 0) {
      // A reply from an older state doesn't confirm that the copy is up to
      // date.
      events.onOlderAnswer(table, replied, known);
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

  function start(): void {
    task ??= runtime.spawn(`follow ${table}`, follow());
  }

  function cancel(): void {
    task?.cancel();
    task = undefined;
  }

  return {
    start,
    stop() {
      cancel();
      isFollowing = false;
    },
    restart() {
      if (task !== undefined) {
        cancel();
        start();
      }
    },
    isFollowing: () => isFollowing,
  };
}
