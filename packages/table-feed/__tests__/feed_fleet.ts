/** A fleet of proxies with table feeds and one store, in virtual time. */
import {type TableRows, createRowWriter} from '@kelpstep/platform';
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
  type ProxyDescriptor,
  type TableFeed,
  createTableFeed,
} from '..';

/** Seed and size of a fleet. */
export interface FeedFleetOptions {
  readonly seed: number;
  readonly proxies: number;
  readonly dataCentres: number;
}

/**
 * A fleet with the faults that a test can inject and the state that it can
 * read.
 */
export interface FeedFleet {
  readonly timer: VirtualTimer;
  readonly network: FakeNetwork;
  readonly store: StandInStore;
  readonly names: readonly string[];
  hostOf(name: string): string;
  dataCentreOf(name: string): string;
  start(name: string): void;
  startAll(within: Milliseconds): void;
  /** Kills the process; its connections are reset. */
  kill(name: string): void;
  /** Turns the machine off; its connections become unresponsive. */
  powerOff(name: string): void;
  /** Commits the next configuration. */
  configure(): void;
  /** Adds a row without a readable value to the configuration table. */
  putUnreadableRow(): void;
  removeUnreadableRow(): void;
  /** Proxies whose copy has the unreadable row. */
  proxiesWithUnreadableRow(): string[];
  /** Running proxies without the newest configuration. */
  outdated(): string[];
  live(name: string): readonly ProxyDescriptor[] | undefined;
  /** Time since a proxy's configuration was known to be up to date. */
  age(name: string): Milliseconds;
  /** Distributors of a data centre according to the store. */
  distributors(dataCentre: string): string[];
  /** Number of subscriptions that ended because of a gap between updates. */
  gaps(): number;
  /**
   * Number of configurations received after a newer one by the same process.
   */
  regressions(): number;
}

const CONFIGURATION_TABLE = 'configuration';
const CONFIGURATION_STALENESS_BOUND_MS: Milliseconds = 3000;
const UNREADABLE_ROW_KEY = 'foreign';
const DISTRIBUTOR_TABLE = 'distributors';
const FEED_PORT = 7001;
const REPLY_TIME_MS: Milliseconds = 4;
const LOCAL_LATENCY_MS: Milliseconds = 0.5;
const REMOTE_LATENCY_MS: Milliseconds = 12;
/** Number of proxies whose addresses are seeds of every proxy. */
const SEED_COUNT = 3;
const HOSTS_PER_SUBNET = 250;

interface RunningFeed {
  readonly feed: TableFeed;
  readonly runtime: Runtime;
}

/** Creates a fleet without running proxies. */
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
    `10.0.${Math.floor(numberOf(name) / HOSTS_PER_SUBNET)}.${numberOf(name) % HOSTS_PER_SUBNET}`;
  const addressOf = (name: string) => `${hostOf(name)}:${FEED_PORT}`;
  const dataCentreByHost = new Map(
    names.map(name => [hostOf(name), dataCentreOf(name)]),
  );
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: (from, to) =>
      dataCentreByHost.get(from) === dataCentreByHost.get(to)
        ? LOCAL_LATENCY_MS
        : REMOTE_LATENCY_MS,
  });
  const store = createStandInStore({
    timer,
    random: random.split(),
    answerTime: REPLY_TIME_MS,
  });
  const running = new Map<string, RunningFeed>();
  const installedVersions = new Map<string, number>();
  const unreadableRowHolders = new Set<string>();
  let distributorRows: TableRows = new Map();
  let newestVersion = 0;
  let regressions = 0;
  let gaps = 0;

  function recordConfiguration(name: string, rows: TableRows): void {
    const version = Number(rows.get('current')?.value ?? 0);
    regressions += version < (installedVersions.get(name) ?? 0) ? 1 : 0;
    installedVersions.set(name, version);
    if (rows.has(UNREADABLE_ROW_KEY)) {
      unreadableRowHolders.add(name);
    } else {
      unreadableRowHolders.delete(name);
    }
  }

  function start(name: string): void {
    const host = hostOf(name);
    const transport = network.transportFor(host);
    const runtime = createRuntime({
      timer: network.timerFor(host),
      random: random.split(),
    });
    installedVersions.set(name, 0);
    const feed = createTableFeed({
      runtime,
      transport,
      store: store.clientOf(name),
      rowWriter: createRowWriter(store.clientOf(name), DISTRIBUTOR_TABLE),
      self: {
        proxy: name,
        dataCentre: dataCentreOf(name),
        region: '',
        address: addressOf(name),
        relayAddress: '',
      },
      capacity: 1,
      seeds: names.slice(0, SEED_COUNT).map(addressOf),
      distributorTable: DISTRIBUTOR_TABLE,
      tables: [
        {
          table: CONFIGURATION_TABLE,
          stalenessBound: CONFIGURATION_STALENESS_BOUND_MS,
          onRows: rows => recordConfiguration(name, rows),
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

  function stop(name: string): void {
    running.get(name)?.runtime.shutdown();
    running.delete(name);
    installedVersions.delete(name);
  }

  const observer = store.clientOf('watcher');
  function readDistributors(): void {
    observer.readTable(DISTRIBUTOR_TABLE).onSettled(read => {
      if (read.ok) {
        distributorRows = new Map(read.val.rows.map(row => [row.key, row]));
      }
    });
  }

  function configure(): void {
    newestVersion += 1;
    store.put(CONFIGURATION_TABLE, 'current', newestVersion);
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
      stop(name);
    },
    powerOff(name) {
      network.removeHost(hostOf(name));
      stop(name);
    },
    configure,
    putUnreadableRow: () =>
      store.put(CONFIGURATION_TABLE, UNREADABLE_ROW_KEY, undefined),
    removeUnreadableRow: () =>
      store.remove(CONFIGURATION_TABLE, UNREADABLE_ROW_KEY),
    proxiesWithUnreadableRow: () => [...unreadableRowHolders],
    outdated: () =>
      [...installedVersions].flatMap(([name, version]) =>
        version === newestVersion ? [] : [name],
      ),
    live: name => running.get(name)?.feed.live(),
    age: name => running.get(name)?.feed.age(CONFIGURATION_TABLE) ?? Infinity,
    distributors(dataCentre) {
      readDistributors();
      timer.advance(REPLY_TIME_MS + 1);
      return [...distributorRows]
        .filter(([key]) => key.startsWith(`${dataCentre}/`))
        .map(([, {value}]) => value as {distributor: ProxyDescriptor})
        .map(({distributor}) => distributor.proxy);
    },
    gaps: () => gaps,
    regressions: () => regressions,
  };
}
