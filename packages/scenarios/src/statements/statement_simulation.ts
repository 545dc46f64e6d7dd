/** Simulates proxies, one group, the store and callers in virtual time. */
import type {ClientAccount, QuotaTolerance} from '@kelpstep/accounts';
import {
  type CallerConnection,
  type Gateway,
  type GatewayConfiguration,
  createStatementProxy,
} from '@kelpstep/gateway';
import {
  VALUE_PER_SLOT_TIME,
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
import type {Transport} from '@kelpstep/rpc';
import type {OrderPromotion, PromotionReply} from '@kelpstep/succession';
import type {TargetRegistration} from '@kelpstep/targets';

import {type RuleChecker, createRuleChecker} from './rule_checker';
import {GROUP, ROUTES, createConfiguration} from './statement_routes';
import type {OperationCounts} from './operation_counts';
import {IGNORED_EVENTS, readStatus} from './proxy_stubs';
import {startRecoveryMonitor} from './recovery_monitor';
import {
  type ReplaceMessage,
  createReplacingTransport,
} from './replacing_transport';
import {type PromotionPath, sendOnPath} from './promotion_path';
import {startSessionCallers} from './session_callers';
import {createTargetRegistrations} from './target_registrations';

/**
 * Size and timing of a simulation; the defaults describe a small deployment.
 */
export interface StatementSimulationOptions {
  readonly seed: number;
  readonly proxies?: number;
  readonly sessions?: number;
  /** Time after which callers stop. */
  readonly duration: Milliseconds;
  readonly promotionTime?: Milliseconds;
  /** Maximum number of connections that a target accepts. */
  readonly connectionLimit?: number;
  /** Number of statements that a target runs concurrently. */
  readonly slots?: number;
  /** Accounts of the callers; by default there are none and no key is used. */
  readonly accounts?: readonly ClientAccount[];
  readonly quotaTolerance?: QuotaTolerance;
  /**
   * Time for which a proxy accepts keys without confirmation that its
   * configuration is current; unlimited by default.
   */
  readonly revocation?: Milliseconds;
  /** Time for which a new connection occupies a target's slot; 0 by default. */
  readonly openingTime?: Milliseconds;
  /** False if proxies do not relay statements to each other. */
  readonly relays?: boolean;
  /** True if proxies know that late promotions are refused; false by default. */
  readonly arePromotionsFenced?: boolean;
  /** By default orders arrive at once, in the order of sending. */
  readonly promotionPath?: PromotionPath;
  /**
   * Replaces a message that a proxy sends to another one; for proxies of an
   * older version. By default messages are sent unchanged.
   */
  readonly replaceMessage?: ReplaceMessage;
}

/** A running simulation. Tests inject faults and read results through it. */
export interface StatementSimulation {
  readonly timer: VirtualTimer;
  readonly random: Random;
  /** Network between proxies and targets, and among targets. */
  readonly network: LinkNetwork;
  /** Network among proxies. */
  readonly relays: FakeNetwork;
  readonly group: StandInGroup;
  readonly store: StandInStore;
  readonly checker: RuleChecker;
  readonly counts: OperationCounts;
  readonly proxies: readonly string[];
  gateway(proxy: string): Gateway | undefined;
  killProxy(proxy: string): void;
  /**
   * Stops a proxy without closing its connections. Targets keep them open for
   * `LINGER_TIME_MS`.
   */
  cutPower(proxy: string): void;
  /** Network endpoint of a proxy; each incarnation has its own. */
  endpointOf(proxy: string): string;
  startProxy(proxy: string): void;
  /** Host of a proxy in the network among proxies. */
  hostOf(proxy: string): string;
  /** Stores a changed configuration under the next version. */
  configure(change: Partial<GatewayConfiguration>): void;
  setLeaving(target: string, leaving: boolean): void;
  /** Removes and withholds a target's registration, or allows it. */
  setListed(target: string, isListed: boolean): void;
  /** Share, 0 to 1, of promotions that run late and are not answered. */
  latePromotionShare: number;
  /** Share, 0 to 1, of commands to targets that run late. */
  lateTargetCommandShare: number;
  /** Share, 0 to 1, of lost answers from targets. */
  lostAnswerShare: number;
  /** Runs until callers have stopped and work has settled; checks the rules. */
  finish(): void;
}

interface RunningProxy {
  readonly gateway: Gateway;
  readonly runtime: Runtime;
  close(): void;
}

/** One-way delays within a region and between regions. */
const LOCAL_DELAY_MS: Milliseconds = 0.5;
const REMOTE_DELAY_MS: Milliseconds = 6;
const RELAY_PORT = 7000;
const FEED_PORT = 7001;
/** Gives the network among proxies a random sequence of its own. */
const RELAY_SEED_OFFSET = 2_000_000;
const DEFAULT_CONNECTION_LIMIT = 40;
const DEFAULT_SLOT_COUNT = 3;
/** Time for which a target keeps a connection whose other end lost power. */
const LINGER_TIME_MS: Milliseconds = 3000;
const TARGETS = ['target-1', 'target-2', 'target-3'] as const;
const CONFIGURATION_TABLE = 'configuration';
const REGISTRATION_TABLE = 'registrations';
const SUCCESSION_TABLE = 'successions';
const DISTRIBUTOR_TABLE = 'distributors';
const STALENESS_BOUNDS = {configuration: 3000, registrations: 7000};
const QUIESCENCE_TIME_MS: Milliseconds = 4000;
const MINIMUM_TARGET_COMMAND_DELAY_MS: Milliseconds = 1000;
const COMMAND_DELAY_SPAN_MS: Milliseconds = 5000;
const PROMOTION_TIMEOUT_MS: Milliseconds = 2500;

/** Creates a simulation whose proxies and callers are running. */
export function createStatementSimulation(
  options: StatementSimulationOptions,
): StatementSimulation {
  const timer = createVirtualTimer();
  const random = createRandom(options.seed);
  const connectionLimit = options.connectionLimit ?? DEFAULT_CONNECTION_LIMIT;
  const slots = options.slots ?? DEFAULT_SLOT_COUNT;
  const network = createLinkNetwork(timer, delayBetween);
  const relays = createFakeNetwork({
    timer,
    random: createRandom(options.seed + RELAY_SEED_OFFSET),
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
    statementDuration: 12,
    connectionSetupDuration: options.openingTime ?? 0,
    promotionDuration: options.promotionTime ?? 300,
    applyDelay: () => 4 + 20 * faultRandom.fraction(),
    commandDelay: () =>
      simulation.lateTargetCommandShare > 0 &&
      faultRandom.fraction() < simulation.lateTargetCommandShare
        ? MINIMUM_TARGET_COMMAND_DELAY_MS +
          COMMAND_DELAY_SPAN_MS * faultRandom.fraction()
        : 0,
    shouldDropAnswer: () => faultRandom.fraction() < simulation.lostAnswerShare,
  });
  const proxies = Array.from(
    {length: options.proxies ?? 4},
    (unused, index) => `proxy-${index + 1}`,
  );
  const running = new Map<string, RunningProxy>();
  const incarnations = new Map<string, number>();

  const trailingNumber = (name: string) => Number(/\d+$/.exec(name)?.[0]);
  const dataCentreOf = (proxy: string) =>
    `centre-${trailingNumber(proxy) % TARGETS.length}`;
  const hostOf = (proxy: string) => `10.0.0.${trailingNumber(proxy)}`;
  const feedAddressOf = (proxy: string) => `${hostOf(proxy)}:${FEED_PORT}`;
  const relayAddressOf = (proxy: string) =>
    options.relays === false ? '' : `${hostOf(proxy)}:${RELAY_PORT}`;

  function delayBetween(from: string, to: string): Milliseconds {
    const isNear =
      trailingNumber(from) % TARGETS.length ===
      trailingNumber(to) % TARGETS.length;
    return isNear ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
  }

  const orderPromotion: OrderPromotion = (order, abandoned) => {
    const {target, epoch, holder} = order;
    if (options.promotionPath !== undefined) {
      return sendOnPath(timer, options.promotionPath, order, abandoned, () =>
        group.promote(target, epoch, holder),
      );
    }
    const result = createDeferred<PromotionReply>();
    if (faultRandom.fraction() < simulation.latePromotionShare) {
      const delay = COMMAND_DELAY_SPAN_MS * faultRandom.fraction();
      timer.after(delay, () => group.promote(target, epoch, holder));
      timer.after(PROMOTION_TIMEOUT_MS, () => result.settle('unanswered'));
    } else {
      timer.after(4, () => {
        const isTaken = group.promote(target, epoch, holder);
        result.settle(isTaken ? 'done' : 'fenced');
      });
    }
    return result.future;
  };

  function endpointOf(proxy: string): string {
    return `incarnation ${incarnations.get(proxy) ?? 0} of ${proxy}`;
  }

  function transportOf(proxy: string): Transport {
    const transport = relays.transportFor(hostOf(proxy));
    const {replaceMessage: replace} = options;
    return replace === undefined
      ? transport
      : createReplacingTransport(transport, sent => replace(proxy, sent));
  }

  function startProxy(proxy: string): void {
    incarnations.set(proxy, (incarnations.get(proxy) ?? 0) + 1);
    const endpoint = endpointOf(proxy);
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
      transport: transportOf(proxy),
      capacity: 1,
      store: store.clientOf(proxy),
      stalenessBounds: {...STALENESS_BOUNDS, revocation: options.revocation},
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
        group.open(endpoint, address, user, timeout, firstRequests),
      readStatus,
      orderPromotion,
      arePromotionsFenced: options.arePromotionsFenced ?? false,
      policies: {
        queue: VALUE_PER_SLOT_TIME,
        createConcurrencyLimit: createAdaptiveLimit,
        retryAfter: spreadRetryAfter,
      },
      events: IGNORED_EVENTS,
      seeds: proxies.map(feedAddressOf),
    });
    running.set(proxy, {gateway, runtime, close});
    recovery.noteDisturbance();
  }

  function killProxy(proxy: string): void {
    const killed = running.get(proxy);
    running.delete(proxy);
    relays.killHost(hostOf(proxy));
    killed?.runtime.shutdown();
    killed?.close();
    recovery.noteDisturbance();
  }

  function cutPower(proxy: string): void {
    const endpoint = endpointOf(proxy);
    TARGETS.forEach(target => network.partition(endpoint, target));
    killProxy(proxy);
    timer.after(LINGER_TIME_MS, () =>
      TARGETS.forEach(target => network.heal(endpoint, target)),
    );
  }

  const registrations = createTargetRegistrations({
    timer,
    store,
    table: REGISTRATION_TABLE,
    group,
    slots,
  });

  const recovery = startRecoveryMonitor({
    timer,
    group,
    network,
    relays,
    store,
    runningProxies: () =>
      [...running.keys()].map(proxy => ({
        endpoint: endpointOf(proxy),
        host: hostOf(proxy),
      })),
    isListed: registrations.isListed,
    hasLossyPaths: () =>
      simulation.latePromotionShare > 0 ||
      simulation.lateTargetCommandShare > 0 ||
      simulation.lostAnswerShare > 0,
    holdsAllCommits: target => checker.holdsAllCommits(target.log()),
    onOverdue: checker.onPrimaryOverdue,
  });

  function connect(caller: CallerConnection): boolean {
    const names = [...running.keys()];
    if (names.length === 0) {
      return false;
    }
    running.get(random.pick(names))?.gateway.serve(caller);
    return true;
  }

  let configuration = createConfiguration(connectionLimit, options.accounts);
  store.put(CONFIGURATION_TABLE, 'current', configuration);
  registrations.start();
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

  const simulation: StatementSimulation = {
    timer,
    random,
    network,
    relays,
    group,
    store,
    checker,
    counts,
    proxies,
    latePromotionShare: 0,
    lateTargetCommandShare: 0,
    lostAnswerShare: 0,
    gateway: proxy => running.get(proxy)?.gateway,
    killProxy,
    cutPower,
    endpointOf,
    startProxy,
    hostOf,
    configure(change) {
      const version = configuration.version + 1;
      configuration = {...configuration, ...change, version};
      const inForceAt = timer.now() + STALENESS_BOUNDS.configuration;
      for (const {name, keyDigests} of change.accounts ?? []) {
        if (keyDigests.length === 0) {
          checker.onKeysRevoked(name, inForceAt);
        }
      }
      store.put(CONFIGURATION_TABLE, 'current', configuration);
    },
    setLeaving: registrations.setLeaving,
    setListed: registrations.setListed,
    finish() {
      const remaining = options.duration - timer.now() + QUIESCENCE_TIME_MS;
      timer.advance(Math.max(0, remaining));
      checker.finish(group.primary());
    },
  };
  return simulation;
}
