/** Many proxies with their table feeds, and one store, in virtual time. */
import type {TableRows} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type VirtualTimer,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  type FakeNetwork,
  type StandInStore,
  createFakeNetwork,
  createStandInStore,
} from '@kelpstep/stand-ins';

import {
  IGNORED_FEED_EVENTS,
  type PresentProxy,
  type TableFeed,
  createTableFeed,
} from '..';

/** Size of a fleet. */
export interface FeedFleetOptions {
  readonly seed: number;
  readonly proxies: number;
  readonly dataCentres: number;
}

/** A fleet with what a test may do to it. */
export interface FeedFleet {
  readonly timer: VirtualTimer;
  readonly network: FakeNetwork;
  readonly store: StandInStore;
  readonly names: readonly string[];
  hostOf(name: string): string;
  dataCentreOf(name: string): string;
  start(name: string): void;
  startAll(within: Milliseconds): void;
  /** Ends a process: its connections are reset. */
  kill(name: string): void;
  /** Takes a machine away: its connections fall silent. */
  cutPower(name: string): void;
  /** Commits the next configuration. */
  configure(): void;
  /** Writes a row beside it that says nothing, or removes it. */
  putForeign(): void;
  removeForeign(): void;
  /** Proxies that know a row of that kind. */
  knowForeign(): string[];
  /** Proxies that don't have the newest configuration. */
  outdated(): string[];
  live(name: string): readonly PresentProxy[] | undefined;
  /** Time since a proxy's configuration was known to be the newest. */
  age(name: string): Milliseconds;
  /** Distributors by the store's rows, by data centre. */
  distributors(dataCentre: string): string[];
  /** Subscriptions that ended as an update lacked what came before it. */
  gaps(): number;
  /** Configurations that came after a newer one in the same process. */
  backward(): number;
}

const CONFIGURATION_TABLE = 'configuration';
const CONFIGURATION_KNOWN_WITHIN: Milliseconds = 3000;
const FOREIGN_KEY = 'foreign';
const DISTRIBUTOR_TABLE = 'distributors';
const FEED_PORT = 7001;
const ANSWER_TIME: Milliseconds = 4;
const NEAR_DELAY: Milliseconds = 0.5;
const FAR_DELAY: Milliseconds = 12;
/** Proxies that every one is told of. */
const SEEDS = 3;
const SMALL_HOST = 250;

interface RunningFeed {
  readonly feed: TableFeed;
  readonly runtime: Runtime;
}

/** Creates a fleet; nothing runs yet. */
export function createFeedFleet(options: FeedFleetOptions): FeedFleet {
  const {seed, dataCentres} = options;
  const timer = createVirtualTimer();
  const random = createRandom(seed);
  const names = Array.from(
    {length: options.proxies},
    (unused, index) => `proxy-${index + 1}`,
  );
  const numberOf = (name: string) => Number(name.slice('proxy-'.length));
  const dataCentreOf = (name: string) =>
    `centre-${numberOf(name) % dataCentres}`;
  const hostOf = (name: string) =>
    `10.0.${Math.floor(numberOf(name) / SMALL_HOST)}.${numberOf(name) % SMALL_HOST}`;
  const addressOf = (name: string) => `${hostOf(name)}:${FEED_PORT}`;
  const centreOfHost = new Map(
    names.map(name => [hostOf(name), dataCentreOf(name)]),
  );
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: (from, to) =>
      centreOfHost.get(from) === centreOfHost.get(to) ? NEAR_DELAY : FAR_DELAY,
  });
  const store = createStandInStore({
    timer,
    random: random.split(),
    answerTime: ANSWER_TIME,
  });
  const running = new Map<string, RunningFeed>();
  const inForce = new Map<string, number>();
  const foreignKnown = new Set<string>();
  let distributorRows: TableRows = new Map();
  let newest = 0;
  let backward = 0;
  let gaps = 0;

  function takeConfiguration(name: string, rows: TableRows): void {
    const version = Number(rows.get('current')?.value ?? 0);
    backward += version < (inForce.get(name) ?? 0) ? 1 : 0;
    inForce.set(name, version);
    if (rows.has(FOREIGN_KEY)) {
      foreignKnown.add(name);
    } else {
      foreignKnown.delete(name);
    }
  }

  function start(name: string): void {
    const host = hostOf(name);
    const transport = network.transportFor(host);
    const runtime = createRuntime({
      timer: network.timerFor(host),
      random: random.split(),
    });
    inForce.set(name, 0);
    const feed = createTableFeed({
      runtime,
      transport,
      store: store.clientOf(name),
      self: {
        proxy: name,
        dataCentre: dataCentreOf(name),
        region: '',
        address: addressOf(name),
        relayAddress: '',
      },
      capacity: 1,
      seeds: names.slice(0, SEEDS).map(addressOf),
      distributorTable: DISTRIBUTOR_TABLE,
      tables: [
        {
          table: CONFIGURATION_TABLE,
          knownWithin: CONFIGURATION_KNOWN_WITHIN,
          onRows: rows => takeConfiguration(name, rows),
        },
      ],
      events: {
        ...IGNORED_FEED_EVENTS,
        onSubscription: (unusedAddress, unusedState, reason) => {
          gaps += reason.includes('gap') ? 1 : 0;
        },
        onListenFailure: message => {
          throw new Error(message);
        },
      },
    });
    running.set(name, {feed, runtime});
  }

  function end(name: string): void {
    running.get(name)?.runtime.shutdown();
    running.delete(name);
    inForce.delete(name);
  }

  const watcher = store.clientOf('watcher');
  function watchDistributors(): void {
    watcher.readTable(DISTRIBUTOR_TABLE).onSettled(read => {
      if (read.ok) {
        distributorRows = new Map(read.val.rows.map(row => [row.key, row]));
      }
    });
  }

  function configure(): void {
    newest += 1;
    store.put(CONFIGURATION_TABLE, 'current', newest);
  }

  configure();
  return {
    timer,
    network,
    store,
    names,
    hostOf,
    dataCentreOf,
    start,
    startAll(within) {
      names.forEach(name =>
        timer.after(within * random.fraction(), () => start(name)),
      );
      timer.advance(within);
    },
    kill(name) {
      network.killHost(hostOf(name));
      end(name);
    },
    cutPower(name) {
      network.removeHost(hostOf(name));
      end(name);
    },
    configure,
    putForeign: () => store.put(CONFIGURATION_TABLE, FOREIGN_KEY, undefined),
    removeForeign: () => store.remove(CONFIGURATION_TABLE, FOREIGN_KEY),
    knowForeign: () => [...foreignKnown],
    outdated: () =>
      [...inForce].flatMap(([name, version]) =>
        version === newest ? [] : [name],
      ),
    live: name => running.get(name)?.feed.live(),
    age: name => running.get(name)?.feed.age(CONFIGURATION_TABLE) ?? Infinity,
    distributors(dataCentre) {
      watchDistributors();
      timer.advance(ANSWER_TIME + 1);
      return [...distributorRows]
        .filter(([key]) => key.startsWith(`${dataCentre}/`))
        .map(([, {value}]) => value as {distributor: PresentProxy})
        .map(({distributor}) => distributor.proxy);
    },
    gaps: () => gaps,
    backward: () => backward,
  };
}
