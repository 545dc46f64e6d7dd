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
  FRESH_WITHIN,
  type SourceView,
  followsStore,
  needsDistantSource,
  startPatience,
} from './choose_sources';
import {startDistributorDuty} from './distributor_duty';
import type {PresentProxy} from './distributor_row';
import type {TableFeedEvents} from './feed_events';
import {createFeedServer} from './feed_server';
import {createPresentProxies} from './present_proxies';
import {createSourceKeeper} from './source_keeper';
import {createStoreFollower} from './store_follower';
import {type TableCopy, createTableCopy} from './table_copy';

/** A table whose rows are wanted. */
export interface FedTable {
  readonly table: string;
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

/** Copies of the tables that are kept current. */
export interface TableFeed {
  /**
   * Proxies that run, this one included; the same array as long as they are the
   * same. Undefined while they aren't known.
   */
  live(): readonly PresentProxy[] | undefined;
  /** Stops serving subscribers. */
  close(): void;
}

const TICK_PERIOD: Milliseconds = 100;
/**
 * Longest wait of a question for the distributors' rows. Its answers tell how
 * old the news are, so that subscribers notice a distributor without the store.
 */
const DISTRIBUTORS_WAIT: Milliseconds = 1200;
/** Longest wait of the others: a connection that fell silent shows by then. */
const TABLE_WAIT: Milliseconds = 5500;
/** Changes within such a time come with one answer. */
const CHANGES_PAUSE: Milliseconds = 50;
/** The same for distributors' rows, which nothing waits for. */
const DISTRIBUTORS_PAUSE: Milliseconds = 50;
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
  let answeredAt = -Infinity;

  const present = createPresentProxies({timer, self});
  const distributors = createTableCopy({
    table: distributorTable,
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
  const leading = followerOf(distributors);
  const following = tableCopies.map(followerOf);
  const duty = startDistributorDuty({
    runtime,
    store,
    self,
    capacity: options.capacity,
    copy: distributors,
    rows: ownRows,
    subscribers: server.subscribers,
    isFresh: () => age() <= FRESH_WITHIN,
    hearsOthers: () => sources.age() <= FRESH_WITHIN,
    silence: sources.silence,
  });

  function copyOf({table, onRows}: FedTable): TableCopy {
    return createTableCopy({
      table,
      onRows(rows) {
        onRows(rows);
        server.publish();
      },
    });
  }

  function followerOf(copy: TableCopy) {
    const isDistributors = copy === distributors;
    return createStoreFollower({
      runtime,
      store,
      copy,
      wait: isDistributors ? DISTRIBUTORS_WAIT : TABLE_WAIT,
      pause: isDistributors ? DISTRIBUTORS_PAUSE : CHANGES_PAUSE,
      longestRetry: () =>
        duty.slot() === undefined ? LONE_RETRY : DISTRIBUTOR_RETRY,
      onAnswer: noteAnswer,
      events,
    });
  }

  function isAnswered(): boolean {
    return timer.now() - answeredAt <= FRESH_WITHIN;
  }

  function noteAnswer(): void {
    answeredAt = timer.now();
  }

  function ownRows() {
    return present
      .rows()
      .filter(({dataCentre}) => dataCentre === self.dataCentre);
  }

  /** Time since the store answered this proxy, or whom it has the news from. */
  function age(): Milliseconds {
    return Math.min(timer.now() - answeredAt, sources.age());
  }

  function view(): SourceView {
    const isKnown = distributors.version() !== undefined;
    const isDistributor = duty.slot() !== undefined;
    const ownAge = isDistributor ? timer.now() - answeredAt : Infinity;
    return {
      age: sources.age(),
      homeAge: Math.min(ownAge, sources.homeAge()),
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
      leading.stop();
      following.forEach(follower => follower.stop());
      return;
    }
    leading.start();
    // One question shows whether the store answers a lone proxy at all.
    if (duty.slot() !== undefined || isAnswered()) {
      following.forEach(follower => follower.start());
    }
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
    if (sources.age() <= FRESH_WITHIN) {
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
        noteAnswer();
        distributors.take({table: distributorTable, ...read.val});
      } else {
        yield* sleep(random.jitter(FIRST_READ_RETRY, RETRY_JITTER));
      }
    }
    yield* sleep(startPatience(view()));
    update();
  }

  const stopListening = acceptConnections({
    transport: options.transport,
    address: self.address,
    accept: server.accept,
    onFailure: events.onListenFailure,
  });
  runtime.spawn('read distributors', readDistributors());
  const stopTicks = timer.every(TICK_PERIOD, update);

  return {
    live: present.live,
    close() {
      stopTicks();
      sources.close();
      server.close();
      stopListening();
    },
  };
}
