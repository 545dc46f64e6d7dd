/** Wires what keeps the copies of the store's tables in a proxy. */
import type {TableRows, TableStore} from '@kelpstep/platform';
import {type Address, type Transport, acceptConnections} from '@kelpstep/rpc';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';

import {
  FRESH_UP_TO,
  type SourceView,
  followsStore,
  needsDistantSource,
  startPatience,
} from './choose_sources';
import {startDistributorDuty} from './distributor_duty';
import type {PresentProxy} from './distributor_row';
import type {TableFeedEvents} from './feed_events';
import {createFeedServer} from './feed_server';
import {
  type TablePromise,
  createConfirmations,
  questionWait,
  stalenessOf,
} from './freshness';
import {createPresentProxies} from './present_proxies';
import {createSourceKeeper} from './source_keeper';
import {createStoreFollower} from './store_follower';
import {type TableCopy, createTableCopy} from './table_copy';

/** A table whose rows are wanted. */
export interface FedTable extends TablePromise {
  /** Called with all rows at first and after each change. */
  onRows(rows: TableRows): void;
}

/** What a table feed is made of. */
export interface TableFeedOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  readonly transport: Transport;
  readonly self: PresentProxy;
  /** Relative to others: those with more become distributors sooner. */
  readonly capacity: number;
  /** Addresses of proxies to ask first; they may be out of date. */
  readonly seeds: readonly Address[];
  /** Table of the distributors' rows, and of nothing else. */
  readonly distributorTable: string;
  readonly tables: readonly FedTable[];
  readonly events: TableFeedEvents;
}

/** Time since the copy of a table was known to be complete. */
export interface TableAge {
  readonly table: string;
  readonly age: Milliseconds;
}

/** Copies of the tables that are kept current. */
export interface TableFeed {
  /**
   * Proxies that run, this one included; the same array as long as they are the
   * same. Undefined while they aren't known.
   */
  live(): readonly PresentProxy[] | undefined;
  /**
   * How many run, with those that were lost lately; undefined as long as `live` is.
   */
  fleetSize(): number | undefined;
  /** Proxies that hand the tables on, in the same order in every proxy's view. */
  distributors(): readonly PresentProxy[];
  /**
   * Time since the copy of a table was known to be complete; `Infinity` if it
   * never was.
   */
  age(table: string): Milliseconds;
  /** The same of all tables that are known. */
  ages(): readonly TableAge[];
  /** Stops serving subscribers. */
  close(): void;
}

const TICK_PERIOD: Milliseconds = 100;
/** No request waits for a change of the distributors' rows. */
const DISTRIBUTORS_KNOWN_WITHIN: Milliseconds = 12_000;
/** Changes within such a time come with one answer. */
const CHANGES_PAUSE: Milliseconds = 50;
/** Pauses after failures: few distributors try again soon, many others late. */
const DISTRIBUTOR_RETRY: Milliseconds = 800;
const LONE_RETRY: Milliseconds = 3200;
const FIRST_READ_RETRY: Milliseconds = 400;
const RETRY_JITTER = 0.3;

/** Starts to keep the copies. */
export function createTableFeed(options: TableFeedOptions): TableFeed {
  const {runtime, store, self, events, distributorTable} = options;
  const {timer, random} = runtime;
  const startedAt = timer.now();
  let spread = random.fraction();
  let reportedSlot: number | undefined;
  /** By the store's answers to this proxy. */
  const answered = createConfirmations(timer);

  const present = createPresentProxies({timer, self});
  const distributors = createTableCopy({
    table: distributorTable,
    knownWithin: DISTRIBUTORS_KNOWN_WITHIN,
    onRows(rows) {
      present.takeRows(rows);
      server.publish();
      update();
    },
  });
  const tableCopies = options.tables.map(copyOf);
  const copies = [distributors, ...tableCopies];
  const server = createFeedServer({runtime, copies, age});
  const sources = createSourceKeeper({
    runtime,
    self,
    copies,
    transport: options.transport,
    seeds: options.seeds,
    rows: present.rows,
    proxies: present.listed,
    onSubscription: events.onSubscription,
  });
  /** Those of the most urgent tables first. */
  const followers = [...copies]
    .sort((left, right) => left.knownWithin - right.knownWithin)
    .map(followerOf);
  const duty = startDistributorDuty({
    runtime,
    store,
    self,
    capacity: options.capacity,
    copy: distributors,
    rows: ownRows,
    subscribers: server.subscribers,
    isFresh: () => stalenessOf(copies, age) <= FRESH_UP_TO,
    hearsOthers,
    silence: sources.silence,
  });

  function copyOf({table, knownWithin, onRows}: FedTable): TableCopy {
    return createTableCopy({
      table,
      knownWithin,
      onRows(rows) {
        onRows(rows);
        server.publish();
      },
    });
  }

  function followerOf(copy: TableCopy) {
    return createStoreFollower({
      runtime,
      store,
      copy,
      wait: questionWait(copy),
      pause: CHANGES_PAUSE,
      longestRetry: () =>
        duty.slot() === undefined ? LONE_RETRY : DISTRIBUTOR_RETRY,
      onComplete: () => answered.confirm(copy.table, timer.now()),
      events,
    });
  }

  function ownRows() {
    return present
      .rows()
      .filter(({dataCentre}) => dataCentre === self.dataCentre);
  }

  function age(table: string): Milliseconds {
    return Math.min(answered.age(table), sources.age(table));
  }

  /** By the news of other proxies alone. */
  function newsStaleness(): number {
    return stalenessOf(copies, sources.age);
  }

  function hearsOthers(): boolean {
    return newsStaleness() <= FRESH_UP_TO;
  }

  function view(): SourceView {
    const isKnown = distributors.version() !== undefined;
    const isDistributor = duty.slot() !== undefined;
    const ownStaleness = isDistributor
      ? stalenessOf(copies, answered.age)
      : Infinity;
    return {
      staleness: newsStaleness(),
      homeStaleness: Math.min(ownStaleness, sources.homeStaleness()),
      hasHome: isDistributor || ownRows().length > 0,
      uptime: timer.now() - startedAt,
      isDistributor,
      proxies: isKnown ? present.listed().length : undefined,
      isSeed: options.seeds.includes(self.address),
      spread,
    };
  }

  function updateFollowers(): void {
    if (!followsStore(view())) {
      followers.forEach(follower => follower.stop());
      return;
    }
    // One table's questions show whether the store answers a lone proxy at all.
    const asksAll =
      duty.slot() !== undefined ||
      followers.some(follower => follower.isFollowing());
    const asking = asksAll ? followers : followers.slice(0, 1);
    asking.forEach(follower => follower.start());
  }

  function report(): void {
    const slot = duty.slot();
    if (slot !== reportedSlot) {
      events.onDistributor(slot ?? reportedSlot ?? 0, slot !== undefined);
      reportedSlot = slot;
    }
  }

  function update(): void {
    sources.update(needsDistantSource(view()));
    if (hearsOthers()) {
      spread = random.fraction();
    }
    updateFollowers();
    report();
  }

  /** Finds the distributors; with them a proxy needs no more of the store. */
  function* readDistributors(): Task<void> {
    while (distributors.version() === undefined) {
      const read = yield* waitFor(store.readTable(distributorTable));
      if (read.ok) {
        distributors.take({table: distributorTable, ...read.val});
        answered.confirm(distributorTable, timer.now());
      } else {
        yield* sleep(random.jitter(FIRST_READ_RETRY, RETRY_JITTER));
      }
    }
    yield* sleep(startPatience(view()));
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
  const stopTicks = timer.every(TICK_PERIOD, update);

  return {
    live: present.live,
    fleetSize: present.fleetSize,
    distributors: present.distributors,
    age,
    ages: () =>
      copies
        .map(({table}) => ({table, age: age(table)}))
        .filter(known => Number.isFinite(known.age)),
    close() {
      stopTicks();
      sources.close();
      server.close();
      stopListening();
    },
  };
}
