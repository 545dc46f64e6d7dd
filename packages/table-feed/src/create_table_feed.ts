/**
 * Wires the components that keep a proxy's copies of the store tables up to
 * date.
 */
import type {RowWriter, StorePosition, TableStore} from '@kelpstep/platform';
import {type Address, type Transport, acceptConnections} from '@kelpstep/rpc';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';

import {
  FRESHNESS_THRESHOLD_RATIO,
  type SourceView,
  needsFallbackSource,
  shouldFollowStore,
  startupDelay,
} from './choose_sources';
import {startDistributorRole} from './distributor_role';
import type {ProxyDescriptor} from './distributor_row';
import type {TableFeedEvents} from './feed_events';
import {createFeedServer} from './feed_server';
import {
  type TableStalenessBound,
  createConfirmations,
  longPollWait,
  stalenessOf,
} from './freshness';
import {createProxyDirectory} from './proxy_directory';
import {createSourceSubscriptions} from './source_subscriptions';
import {createStoreFollower} from './store_follower';
import {type RowsListener, type TableCopy, createTableCopy} from './table_copy';

/** A table that the feed keeps a copy of. */
export interface FeedTable extends TableStalenessBound {
  /** Called with all rows initially and after each change. */
  readonly onRows: RowsListener;
}

/** The feed keeps copies of `tables` and of the distributor table. */
export interface TableFeedOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  /** Writes the rows of the distributor table. */
  readonly rowWriter: RowWriter;
  readonly transport: Transport;
  readonly self: ProxyDescriptor;
  /**
   * Relative capacity: proxies with a higher one become distributors sooner.
   */
  readonly capacity: number;
  /** Addresses of proxies to subscribe to first; they may be out of date. */
  readonly seeds: readonly Address[];
  /** Name of the table that holds only distributor rows. */
  readonly distributorTable: string;
  readonly tables: readonly FeedTable[];
  readonly events: TableFeedEvents;
}

/** A table, and the time since its copy was known to be up to date. */
export interface TableAge {
  readonly table: string;
  readonly age: Milliseconds;
  /** Position of the copy; undefined if there is none. */
  readonly position: StorePosition | undefined;
}

/** Keeps the copies of the tables up to date until `close` is called. */
export interface TableFeed {
  /**
   * Running proxies, including this one; the same array until they change. The
   * result is undefined while they aren't known.
   */
  live(): readonly ProxyDescriptor[] | undefined;
  /**
   * Number of running and recently lost proxies; undefined while `live` returns
   * undefined.
   */
  fleetSize(): number | undefined;
  /** All distributors, in the same order on every proxy. */
  distributors(): readonly ProxyDescriptor[];
  /**
   * Time since the copy of a table was known to be up to date; `Infinity` if it
   * never was.
   */
  age(table: string): Milliseconds;
  /** Ages of all tables that were ever known to be up to date. */
  ages(): readonly TableAge[];
  /** Ends the subscriptions and stops serving subscribers. */
  close(): void;
}

const TICK_PERIOD_MS: Milliseconds = 100;
/** Longer than for other tables, as no request waits for a distributor row. */
const DISTRIBUTORS_STALENESS_BOUND_MS: Milliseconds = 12_000;
/** Delay in which changes are batched into one reply of the store. */
const CHANGE_BATCHING_DELAY_MS: Milliseconds = 50;
/**
 * Upper bounds of the backoff: the few distributors retry sooner than others.
 */
const DISTRIBUTOR_MAXIMUM_RETRY_DELAY_MS: Milliseconds = 800;
const OTHER_MAXIMUM_RETRY_DELAY_MS: Milliseconds = 3200;
const FIRST_READ_RETRY_DELAY_MS: Milliseconds = 400;
const RETRY_JITTER_RATIO = 0.3;

/**
 * Starts to read the tables from the store or other proxies, and to serve
 * subscribers if this proxy has an address for them.
 */
export function createTableFeed(options: TableFeedOptions): TableFeed {
  const {runtime, store, self, events, distributorTable} = options;
  const {timer, random} = runtime;
  const startedAt = timer.now();
  let spread = random.fraction();
  let reportedSlot: number | undefined;
  let knownEra = 0;
  /** Times at which the store's replies to this proxy confirmed its copies. */
  const storeConfirmations = createConfirmations(timer);

  const directory = createProxyDirectory({timer, self});
  const distributors = createTableCopy({
    table: distributorTable,
    stalenessBound: DISTRIBUTORS_STALENESS_BOUND_MS,
    onRows(rows, position) {
      directory.updateRows(rows, position);
      server.publish();
      update();
      noteEra(position.era);
    },
  });
  const tableCopies = options.tables.map(copyOf);
  const copies = [distributors, ...tableCopies];
  const server = createFeedServer({runtime, copies, age});
  const sources = createSourceSubscriptions({
    runtime,
    self,
    copies,
    transport: options.transport,
    seeds: options.seeds,
    rows: directory.rows,
    proxies: directory.listed,
    onSubscription: events.onSubscription,
  });
  /** Tables with the tightest staleness bounds come first. */
  const copiesByUrgency = [...copies].sort(
    (left, right) => left.stalenessBound - right.stalenessBound,
  );
  const followers = copiesByUrgency.map(followerOf);
  const role = startDistributorRole({
    runtime,
    store,
    rowWriter: options.rowWriter,
    self,
    capacity: options.capacity,
    copy: distributors,
    rows: localRows,
    subscribers: server.subscribers,
    isFresh: () => stalenessOf(copies, age) <= FRESHNESS_THRESHOLD_RATIO,
    receivesFreshUpdates,
    timeSinceFresh: sources.timeSinceFresh,
  });

  function copyOf({
    table,
    stalenessBound: bound,
    onRows,
  }: FeedTable): TableCopy {
    return createTableCopy({
      table,
      stalenessBound: bound,
      onRows(rows, position) {
        onRows(rows, position);
        server.publish();
        noteEra(position.era);
      },
    });
  }

  function followerOf(copy: TableCopy) {
    return createStoreFollower({
      runtime,
      store,
      copy,
      wait: longPollWait(copy),
      pause: CHANGE_BATCHING_DELAY_MS,
      maximumRetryDelay: () =>
        role.slot() === undefined
          ? OTHER_MAXIMUM_RETRY_DELAY_MS
          : DISTRIBUTOR_MAXIMUM_RETRY_DELAY_MS,
      onComplete: () => storeConfirmations.confirm(copy.table, timer.now()),
      events,
    });
  }

  /**
   * Begins the requests for all copies of earlier eras again, as the store may
   * have lost those that were pending when it was restored.
   */
  function noteEra(era: number): void {
    if (era <= knownEra) {
      return;
    }
    knownEra = era;
    copiesByUrgency.forEach((copy, index) => {
      const position = copy.position();
      if (position !== undefined && position.era < era) {
        followers[index]?.restart();
      }
    });
  }

  function localRows() {
    return directory
      .rows()
      .filter(({dataCentre}) => dataCentre === self.dataCentre);
  }

  function age(table: string): Milliseconds {
    return Math.min(storeConfirmations.age(table), sources.age(table));
  }

  /** Staleness by the updates of other proxies alone. */
  function peerStaleness(): number {
    return stalenessOf(copies, sources.age);
  }

  function receivesFreshUpdates(): boolean {
    return peerStaleness() <= FRESHNESS_THRESHOLD_RATIO;
  }

  function sourceView(): SourceView {
    const isKnown = distributors.position() !== undefined;
    const isDistributor = role.slot() !== undefined;
    const ownStaleness = isDistributor
      ? stalenessOf(copies, storeConfirmations.age)
      : Infinity;
    return {
      staleness: peerStaleness(),
      localStaleness: Math.min(ownStaleness, sources.localStaleness()),
      hasLocalDistributor: isDistributor || localRows().length > 0,
      uptime: timer.now() - startedAt,
      isDistributor,
      proxies: isKnown ? directory.listed().length : undefined,
      isSeed: options.seeds.includes(self.address),
      spread,
    };
  }

  function updateFollowers(): void {
    if (!shouldFollowStore(sourceView())) {
      followers.forEach(follower => follower.stop());
      return;
    }
    // One follower suffices to find out whether the store is reachable.
    const followsAll =
      role.slot() !== undefined ||
      followers.some(follower => follower.isFollowing());
    const selected = followsAll ? followers : followers.slice(0, 1);
    selected.forEach(follower => follower.start());
  }

  function reportSlot(): void {
    const slot = role.slot();
    if (slot !== reportedSlot) {
      events.onDistributor(slot ?? reportedSlot ?? 0, slot !== undefined);
      reportedSlot = slot;
    }
  }

  function update(): void {
    sources.update(needsFallbackSource(sourceView()));
    if (receivesFreshUpdates()) {
      spread = random.fraction();
    }
    updateFollowers();
    reportSlot();
  }

  /**
   * Reads the distributor rows, which name proxies that serve all other tables.
   */
  function* readDistributors(): Task<void> {
    while (distributors.position() === undefined) {
      const read = yield* waitFor(store.readTable(distributorTable));
      if (read.ok) {
        distributors.take({table: distributorTable, ...read.val});
        storeConfirmations.confirm(distributorTable, timer.now());
      } else {
        yield* sleep(
          random.jitter(FIRST_READ_RETRY_DELAY_MS, RETRY_JITTER_RATIO),
        );
      }
    }
    yield* sleep(startupDelay(sourceView()));
    update();
  }

  function listen(): () => void {
    if (self.address === '') {
      return () => {};
    }
    return acceptConnections({
      transport: options.transport,
      address: self.address,
      accept: server.accept,
      onFailure: events.onListenFailure,
    });
  }

  const stopListening = listen();
  runtime.spawn('read distributors', readDistributors());
  const stopTicks = timer.every(TICK_PERIOD_MS, update);

  return {
    live: directory.live,
    fleetSize: directory.fleetSize,
    distributors: directory.distributors,
    age,
    ages: () =>
      copies
        .map(({table, position}) => ({
          table,
          age: age(table),
          position: position(),
        }))
        .filter(known => Number.isFinite(known.age)),
    close() {
      stopTicks();
      sources.close();
      server.close();
      stopListening();
    },
  };
}
