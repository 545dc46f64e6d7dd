/** Proxies, a group, a store and callers together, in virtual time. */
import type {ClientAccount, QuotaTolerance} from '@kelpstep/accounts';
import {
  type CallerConnection,
  type Gateway,
  type GatewayConfiguration,
  createStatementProxy,
} from '@kelpstep/gateway';
import {
  WORTH_PER_SLOT_TIME,
  createAdaptiveLimit,
  spreadRetryAfter,
} from '@kelpstep/pool';
import {
  type Milliseconds,
  type Random,
  type Runtime,
  type VirtualTimer,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  type FakeNetwork,
  type LinkNetwork,
  type StandInGroup,
  type StandInStore,
  createFakeNetwork,
  createLinkNetwork,
  createStandInGroup,
  createStandInStore,
} from '@kelpstep/stand-ins';
import type {OrderPromotion, PromotionReply} from '@kelpstep/succession';
import type {TargetRegistration} from '@kelpstep/targets';

import {type RuleChecker, createRuleChecker} from './rule_checker';
import {GROUP, ROUTES, configurationWith} from './statement_routes';
import type {OperationCounts} from './operation_counts';
import {SILENT_EVENTS, readStatus} from './proxy_edges';
import {startSessionCallers} from './session_callers';

/** Size and pace of a world; the figures are those of a small deployment. */
export interface StatementWorldOptions {
  readonly seed: number;
  readonly proxies?: number;
  readonly sessions?: number;
  /** Callers stop after this time. */
  readonly duration: Milliseconds;
  readonly promotionTime?: Milliseconds;
  /** Connections that a target accepts. */
  readonly connectionLimit?: number;
  /** Statements that a target runs at a time. */
  readonly slots?: number;
  /** Accounts of the callers; none by default, so that nobody has a key. */
  readonly accounts?: readonly ClientAccount[];
  readonly quotaTolerance?: QuotaTolerance;
  /** Without proof of the configuration keys are trusted for no longer. */
  readonly revocation?: Milliseconds;
  /** Time of a target's slot that a new connection takes; none by default. */
  readonly openingTime?: Milliseconds;
  /** False: proxies send no statements through each other. */
  readonly relays?: boolean;
}

/** Everything that a test may act on. */
export interface StatementWorld {
  readonly timer: VirtualTimer;
  readonly random: Random;
  /** Between proxies and targets, and among targets. */
  readonly network: LinkNetwork;
  /** Among proxies. */
  readonly relays: FakeNetwork;
  readonly group: StandInGroup;
  readonly store: StandInStore;
  readonly checker: RuleChecker;
  readonly counts: OperationCounts;
  readonly proxies: readonly string[];
  gateway(proxy: string): Gateway | undefined;
  killProxy(proxy: string): void;
  /** Targets hold its connections for seconds, as nothing ends them. */
  cutPower(proxy: string): void;
  /** Where a running proxy stands in the network; each life has its own. */
  placeOf(proxy: string): string;
  startProxy(proxy: string): void;
  /** A proxy's host in the network among proxies. */
  hostOf(proxy: string): string;
  /** Puts a changed configuration in the store. */
  configure(change: Partial<GatewayConfiguration>): void;
  setLeaving(target: string, leaving: boolean): void;
  /** Share of promotions that are carried out late and not answered. */
  lateOrders: number;
  /** The same for orders to targets. */
  lateTargetOrders: number;
  lostAnswers: number;
  /** Runs until the callers have stopped and all is quiet, then judges. */
  finish(): void;
}

interface RunningProxy {
  readonly gateway: Gateway;
  readonly runtime: Runtime;
  close(): void;
}

/** One way, within a region and between two. */
const NEAR_DELAY: Milliseconds = 0.5;
const FAR_DELAY: Milliseconds = 6;
const RELAY_PORT = 7000;
const FEED_PORT = 7001;
/** Keeps the network's chance apart from the seeds of worlds. */
const RELAY_SEED = 2_000_000;
const CONNECTION_LIMIT = 40;
const SLOTS = 3;
/** How long a target holds a connection whose other end has no power. */
const LINGER_TIME: Milliseconds = 3000;
const TARGETS = ['target-1', 'target-2', 'target-3'] as const;
const CONFIGURATION_TABLE = 'configuration';
const REGISTRATION_TABLE = 'registrations';
const SUCCESSION_TABLE = 'successions';
const DISTRIBUTOR_TABLE = 'distributors';
const TABLE_DELAYS = {configuration: 3000, registrations: 7000};
/** A stopped target's entry goes after three missed heartbeats. */
const ENTRY_LIFETIME: Milliseconds = 3600;
const REGISTRATION_PERIOD: Milliseconds = 100;
const QUIET_TIME: Milliseconds = 4000;
const EARLIEST_LATE_ORDER: Milliseconds = 1000;
const LATEST_ORDER: Milliseconds = 5000;
const ORDER_TIMEOUT: Milliseconds = 2500;

/** Creates a world in which callers already run. */
export function createStatementWorld(
  options: StatementWorldOptions,
): StatementWorld {
  const timer = createVirtualTimer();
  const random = createRandom(options.seed);
  const connectionLimit = options.connectionLimit ?? CONNECTION_LIMIT;
  const slots = options.slots ?? SLOTS;
  const network = createLinkNetwork(timer, delayBetween);
  /** Carries what proxies send each other. */
  const relays = createFakeNetwork({
    timer,
    random: createRandom(options.seed + RELAY_SEED),
    latency: delayBetween,
  });
  const store = createStandInStore({
    timer,
    random: random.split(),
    answerTime: 4,
  });
  const checker = createRuleChecker(timer, name => group.target(name));
  const faultRandom = random.split();
  const group = createStandInGroup({
    timer,
    network,
    recorder: checker,
    group: GROUP,
    targets: TARGETS,
    slots,
    connectionLimit,
    workTime: 12,
    openingTime: options.openingTime ?? 0,
    promotionTime: options.promotionTime ?? 300,
    applyDelay: () => 4 + 20 * faultRandom.fraction(),
    orderDelay: () =>
      world.lateTargetOrders > 0 &&
      faultRandom.fraction() < world.lateTargetOrders
        ? EARLIEST_LATE_ORDER + LATEST_ORDER * faultRandom.fraction()
        : 0,
    losesAnswer: () => faultRandom.fraction() < world.lostAnswers,
  });
  const proxies = Array.from(
    {length: options.proxies ?? 4},
    (unused, index) => `proxy-${index + 1}`,
  );
  const running = new Map<string, RunningProxy>();
  const leaving = new Set<string>();
  const lives = new Map<string, number>();
  const stoppedAt = new Map<string, Milliseconds>();

  const placeNumber = (name: string) => Number(/\d+$/.exec(name)?.[0]);
  const dataCentreOf = (proxy: string) =>
    `centre-${placeNumber(proxy) % TARGETS.length}`;
  const hostOf = (proxy: string) => `10.0.0.${placeNumber(proxy)}`;
  const feedAddressOf = (proxy: string) => `${hostOf(proxy)}:${FEED_PORT}`;
  const relayAddressOf = (proxy: string) =>
    options.relays === false ? '' : `${hostOf(proxy)}:${RELAY_PORT}`;

  function delayBetween(from: string, to: string): Milliseconds {
    const isNear =
      placeNumber(from) % TARGETS.length === placeNumber(to) % TARGETS.length;
    return isNear ? NEAR_DELAY : FAR_DELAY;
  }

  const orderPromotion: OrderPromotion = ({target, epoch, holder}) => {
    const result = createDeferred<PromotionReply>();
    if (faultRandom.fraction() < world.lateOrders) {
      const delay = LATEST_ORDER * faultRandom.fraction();
      timer.after(delay, () => group.promote(target, epoch, holder));
      timer.after(ORDER_TIMEOUT, () => result.settle('unanswered'));
    } else {
      timer.after(4, () => {
        const isTaken = group.promote(target, epoch, holder);
        result.settle(isTaken ? 'done' : 'fenced');
      });
    }
    return result.future;
  };

  function placeOf(proxy: string): string {
    return `life ${lives.get(proxy) ?? 0} of ${proxy}`;
  }

  function startProxy(proxy: string): void {
    lives.set(proxy, (lives.get(proxy) ?? 0) + 1);
    const place = placeOf(proxy);
    const runtime = createRuntime({timer, random: random.split()});
    const {gateway, close} = createStatementProxy({
      runtime,
      self: {
        proxy,
        dataCentre: dataCentreOf(proxy),
        region: '',
        address: feedAddressOf(proxy),
        relayAddress: relayAddressOf(proxy),
      },
      transport: relays.transportFor(hostOf(proxy)),
      capacity: 1,
      store: store.clientOf(proxy),
      delays: {...TABLE_DELAYS, revocation: options.revocation},
      quotaTolerance: options.quotaTolerance,
      layout: {
        configurationTable: CONFIGURATION_TABLE,
        registrationTable: REGISTRATION_TABLE,
        successionTable: SUCCESSION_TABLE,
        distributorTable: DISTRIBUTOR_TABLE,
        decodeConfiguration: rows => {
          const value = rows.get('current')?.value;
          return {
            value: value as GatewayConfiguration | undefined,
            findings: [],
          };
        },
        decodeRegistrations: rows => ({
          value: [...rows.values()].map(
            ({value}) => value as TargetRegistration,
          ),
          findings: [],
        }),
      },
      open: (address, user, timeout, firstRequests) =>
        group.open(place, address, user, timeout, firstRequests),
      readStatus,
      orderPromotion,
      policies: {
        queue: WORTH_PER_SLOT_TIME,
        createConcurrencyLimit: createAdaptiveLimit,
        retryAfter: spreadRetryAfter,
      },
      events: SILENT_EVENTS,
      seeds: proxies.map(feedAddressOf),
    });
    running.set(proxy, {gateway, runtime, close});
  }

  function killProxy(proxy: string): void {
    const killed = running.get(proxy);
    running.delete(proxy);
    relays.killHost(hostOf(proxy));
    killed?.runtime.shutdown();
    killed?.close();
  }

  function cutPower(proxy: string): void {
    const place = placeOf(proxy);
    TARGETS.forEach(target => network.cut(place, target));
    killProxy(proxy);
    timer.after(LINGER_TIME, () =>
      TARGETS.forEach(target => network.heal(place, target)),
    );
  }

  function register(): void {
    for (const target of group.targets()) {
      const name = target.target;
      const since = stoppedAt.get(name);
      if (target.isRunning()) {
        stoppedAt.delete(name);
        putEntry(name, target.role());
      } else if (since === undefined) {
        stoppedAt.set(name, timer.now());
      } else if (timer.now() - since > ENTRY_LIFETIME) {
        entries.delete(name);
        store.remove(REGISTRATION_TABLE, name);
      }
    }
  }

  const entries = new Map<string, string>();
  function putEntry(target: string, role: 'primary' | 'replica'): void {
    const entry: TargetRegistration = {
      target,
      group: GROUP,
      address: target,
      dataCentre: target,
      slots,
      isLeaving: leaving.has(target),
      role,
      startedAt: 0,
    };
    const text = JSON.stringify(entry);
    if (entries.get(target) !== text) {
      entries.set(target, text);
      store.put(REGISTRATION_TABLE, target, entry);
    }
  }

  function connect(caller: CallerConnection): boolean {
    const names = [...running.keys()];
    if (names.length === 0) {
      return false;
    }
    running.get(random.pick(names))?.gateway.serve(caller);
    return true;
  }

  let configuration = configurationWith(connectionLimit, options.accounts);
  store.put(CONFIGURATION_TABLE, 'current', configuration);
  register();
  timer.every(REGISTRATION_PERIOD, register);
  proxies.forEach(startProxy);
  const callerRuntime = createRuntime({timer, random: random.split()});
  const counts = startSessionCallers({
    runtime: callerRuntime,
    random: random.split(),
    checker,
    routes: ROUTES,
    ...(options.accounts === undefined ? {} : {accounts: options.accounts}),
    sessions: options.sessions ?? 18,
    until: options.duration,
    connect,
  });

  const world: StatementWorld = {
    timer,
    random,
    network,
    relays,
    group,
    store,
    checker,
    counts,
    proxies,
    lateOrders: 0,
    lateTargetOrders: 0,
    lostAnswers: 0,
    gateway: proxy => running.get(proxy)?.gateway,
    killProxy,
    cutPower,
    placeOf,
    startProxy,
    hostOf,
    configure(change) {
      const version = configuration.version + 1;
      configuration = {...configuration, ...change, version};
      const inForceAt = timer.now() + TABLE_DELAYS.configuration;
      for (const {name, keyDigests} of change.accounts ?? []) {
        if (keyDigests.length === 0) {
          checker.onKeysTakenAway(name, inForceAt);
        }
      }
      store.put(CONFIGURATION_TABLE, 'current', configuration);
    },
    setLeaving(target, isLeaving) {
      if (isLeaving) {
        leaving.add(target);
      } else {
        leaving.delete(target);
      }
    },
    finish() {
      const rest = options.duration - timer.now() + QUIET_TIME;
      timer.advance(Math.max(0, rest));
      checker.finish(group.primary());
    },
  };
  return world;
}
