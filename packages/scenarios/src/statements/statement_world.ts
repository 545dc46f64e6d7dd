/** Proxies, a group, a store and callers together, in virtual time. */
import {
  type CallerConnection,
  type CallerRoute,
  type Gateway,
  type GatewayConfiguration,
  type StatementProxyEvents,
  createStatementProxy,
} from '@kelpstep/gateway';
import type {AskForTables, RelayedTables} from '@kelpstep/membership';
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
  type LinkNetwork,
  type StandInGroup,
  type StandInStore,
  createLinkNetwork,
  createStandInGroup,
  createStandInStore,
} from '@kelpstep/stand-ins';
import type {StatementAnswer, TargetStatus} from '@kelpstep/statements';
import type {OrderPromotion, PromotionReply} from '@kelpstep/succession';
import type {TargetRegistration} from '@kelpstep/targets';

import {type RuleChecker, createRuleChecker} from './rule_checker';
import {type OperationCounts, startSessionCallers} from './session_callers';

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
}

/** Everything that a test may act on. */
export interface StatementWorld {
  readonly timer: VirtualTimer;
  readonly random: Random;
  readonly network: LinkNetwork;
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
  setLeaving(target: string, leaving: boolean): void;
  /** Share of promotions that are carried out late and not answered. */
  lateOrders: number;
  lostAnswers: number;
  /** Runs until the callers have stopped and all is quiet, then judges. */
  finish(): void;
}

interface RunningProxy {
  readonly gateway: Gateway;
  readonly runtime: Runtime;
  tables(): RelayedTables;
}

const PEER_DELAY: Milliseconds = 12;
const CONNECTION_LIMIT = 40;
/** How long a target holds a connection whose other end has no power. */
const LINGER_TIME: Milliseconds = 3000;
const GROUP = 'records';
const TARGETS = ['target-1', 'target-2', 'target-3'] as const;
const CONFIGURATION_TABLE = 'configuration';
const REGISTRATION_TABLE = 'registrations';
const OWN_TABLE = 'proxies';
/** A stopped target's entry goes after three missed heartbeats. */
const ENTRY_LIFETIME: Milliseconds = 3600;
const REGISTRATION_PERIOD: Milliseconds = 100;
const QUIET_TIME: Milliseconds = 4000;
const LATEST_ORDER: Milliseconds = 5000;
const ORDER_TIMEOUT: Milliseconds = 2500;

/** Routes of all three kinds of freshness. */
const ROUTES: readonly CallerRoute[] = [
  route('entries', 'primary', 0, 800),
  route('histories', 'bounded', 1500, 2000),
  route('reports', 'readYourWrites', 2500, 800),
];

function route(
  database: string,
  freshness: CallerRoute['freshness'],
  maximumStaleness: Milliseconds,
  timeout: Milliseconds,
): CallerRoute {
  return {
    database,
    freshness,
    group: GROUP,
    timeout,
    targetLatency: timeout,
    priority: 1,
    maximumStaleness,
  };
}

function configurationWith(connectionLimit: number): GatewayConfiguration {
  return {
    version: 1,
    routes: ROUTES,
    groups: [{group: GROUP, connectionLimit, synchronousReplicas: 1}],
    transactionIdle: 3000,
  };
}

const SILENT_EVENTS: StatementProxyEvents = {
  gateway: {onRequestEnd: () => {}, onSession: () => {}},
  targets: () => ({
    onReachability: () => {},
    onLeader: () => {},
    onTarget: () => {},
  }),
  succession: () => ({
    onStart: () => {},
    onStep: () => {},
    onEnd: () => {},
  }),
  onConfiguration: () => {},
  onFinding: () => {},
  onRelayed: () => {},
  onFeed: () => {},
};

function readStatus(answer: StatementAnswer): TargetStatus | undefined {
  const [role, term, end = '', termHeld] = answer.rows[0]?.split(' ') ?? [];
  if (role !== 'primary' && role !== 'replica') {
    return undefined;
  }
  const [receivedTerm, position] = end.split('.');
  return {
    role,
    term: Number(term),
    received: {term: Number(receivedTerm), position: Number(position)},
    termHeld: Number(termHeld),
  };
}

/** Creates a world in which callers already run. */
export function createStatementWorld(
  options: StatementWorldOptions,
): StatementWorld {
  const timer = createVirtualTimer();
  const random = createRandom(options.seed);
  const connectionLimit = options.connectionLimit ?? CONNECTION_LIMIT;
  const network = createLinkNetwork(timer, delayBetween);
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
    slots: 3,
    connectionLimit,
    workTime: 12,
    promotionTime: options.promotionTime ?? 300,
    applyDelay: () => 4 + 20 * faultRandom.fraction(),
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

  function delayBetween(from: string, to: string): Milliseconds {
    const place = (name: string) => Number(name.slice(-1)) % TARGETS.length;
    return place(from) === place(to) ? 0.5 : 6;
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

  /** Proxies reach each other as long as both run. */
  const askForTables: AskForTables = peer => {
    const result = createDeferred<RelayedTables | undefined>();
    timer.after(PEER_DELAY, () => result.settle(running.get(peer)?.tables()));
    return result.future;
  };

  function placeOf(proxy: string): string {
    return `life ${lives.get(proxy) ?? 0} of ${proxy}`;
  }

  function startProxy(proxy: string): void {
    lives.set(proxy, (lives.get(proxy) ?? 0) + 1);
    const place = placeOf(proxy);
    const runtime = createRuntime({timer, random: random.split()});
    const {gateway, tables} = createStatementProxy({
      runtime,
      self: proxy,
      store: store.clientOf(proxy),
      layout: {
        configurationTable: CONFIGURATION_TABLE,
        registrationTable: REGISTRATION_TABLE,
        ownTable: OWN_TABLE,
        decodeConfiguration: rows => {
          const value = rows.get('current')?.value;
          return value === undefined
            ? undefined
            : {value: value as GatewayConfiguration, findings: []};
        },
        decodeRegistrations: rows => ({
          value: [...rows.values()].map(
            ({value}) => value as TargetRegistration,
          ),
          findings: [],
        }),
      },
      open: (address, timeout) => group.open(place, address, timeout),
      readStatus,
      orderPromotion,
      policies: {
        queue: WORTH_PER_SLOT_TIME,
        createConcurrencyLimit: createAdaptiveLimit,
        retryAfter: spreadRetryAfter,
      },
      events: SILENT_EVENTS,
      address: proxy,
      seeds: proxies,
      askForTables,
    });
    running.set(proxy, {gateway, runtime, tables});
  }

  function killProxy(proxy: string): void {
    const killed = running.get(proxy);
    running.delete(proxy);
    killed?.runtime.shutdown();
    killed?.gateway.close();
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
      slots: 3,
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

  store.put(CONFIGURATION_TABLE, 'current', configurationWith(connectionLimit));
  register();
  timer.every(REGISTRATION_PERIOD, register);
  proxies.forEach(startProxy);
  const callerRuntime = createRuntime({timer, random: random.split()});
  const counts = startSessionCallers({
    runtime: callerRuntime,
    random: random.split(),
    checker,
    routes: ROUTES,
    sessions: options.sessions ?? 18,
    until: options.duration,
    connect,
  });

  const world: StatementWorld = {
    timer,
    random,
    network,
    group,
    store,
    checker,
    counts,
    proxies,
    lateOrders: 0,
    lostAnswers: 0,
    gateway: proxy => running.get(proxy)?.gateway,
    killProxy,
    cutPower,
    placeOf,
    startProxy,
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
