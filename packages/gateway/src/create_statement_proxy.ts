/**
 * Wires a proxy of statement sessions: the tables of the platform's store, the
 * gateway, and the failure detector of each group's primary.
 */
import {
  type QuotaTolerance,
  createQuota,
  createStartAllowance,
} from '@kelpstep/accounts';
import type {StoredRow, TableRows, TableStore} from '@kelpstep/platform';
import type {AdmissionPolicies} from '@kelpstep/pool';
import type {Transport} from '@kelpstep/rpc';
import {createFailure} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  settledFuture,
} from '@kelpstep/runtime';
import type {
  OpenTargetConnection,
  ReadTargetStatus,
} from '@kelpstep/statements';
import {
  type OrderPromotion,
  SUCCESSION_PREFIX,
  type SuccessionEvents,
  type SuccessionWatch,
  type VersionedSuccession,
  successionSchema,
  watchSuccession,
} from '@kelpstep/succession';
import {
  type PresentProxy,
  type TableAge,
  type TableFeedEvents,
  createTableFeed,
} from '@kelpstep/table-feed';
import type {
  TargetGroup,
  TargetGroupEvents,
  TargetLink,
  TargetRegistration,
} from '@kelpstep/targets';
import {Err} from 'ts-results';

import type {GatewayConfiguration} from './configuration';
import {type Gateway, createGateway} from './create_gateway';
import type {GatewayEvents} from './gateway_events';
import {createHolders} from './relay/connection_owners';
import {type Relay, createRelay} from './relay/create_relay';
import type {LeaderCheck} from './relay/primary_check';

/** A decoded value, with a message for each entry that had to be ignored. */
export interface Decoded<T> {
  readonly value: T;
  readonly findings: readonly string[];
}

/** Names of the tables in the store and decoders of their rows. */
export interface StoreLayout {
  readonly configurationTable: string;
  readonly registrationTable: string;
  /** Table of the groups' successions. */
  readonly successionTable: string;
  /** Table of the proxies that distribute the tables. */
  readonly distributorTable: string;
  /** The value is undefined while there is no readable configuration. */
  decodeConfiguration(
    rows: TableRows,
  ): Decoded<GatewayConfiguration | undefined>;
  decodeRegistrations(rows: TableRows): Decoded<readonly TargetRegistration[]>;
}

/** Times within which every proxy must know a confirmed change. */
export interface TableDelays {
  readonly configuration: Milliseconds;
  readonly registrations: Milliseconds;
  /**
   * Time after which a revoked key is no longer accepted, even by a proxy that
   * receives no updates; undefined if such a proxy continues with its known
   * state.
   */
  readonly revocation?: Milliseconds | undefined;
}

/** Events of a proxy, for logs and metrics. */
export interface StatementProxyEvents {
  readonly tables: TableFeedEvents;
  readonly gateway: GatewayEvents;
  targets(group: string): TargetGroupEvents;
  succession(group: string): SuccessionEvents;
  onConfiguration(version: number): void;
  /** An entry in the store can't be used. */
  onFinding(place: 'configuration' | 'registration', message: string): void;
  /** The relay address can't be listened on, so peers can't relay here. */
  onListenFailure(message: string): void;
}

/** Dependencies of a statement proxy. */
export interface StatementProxyOptions {
  readonly runtime: Runtime;
  readonly self: PresentProxy;
  /** Relative to other proxies: those with more become distributors sooner. */
  readonly capacity: number;
  /** Carries tables and statements between proxies. */
  readonly transport: Transport;
  readonly store: TableStore;
  readonly layout: StoreLayout;
  readonly delays: TableDelays;
  /** How far quotas may be exceeded at the start; undefined: not at all. */
  readonly quotaTolerance?: QuotaTolerance | undefined;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  readonly policies: AdmissionPolicies;
  readonly events: StatementProxyEvents;
  /** Addresses of proxies to contact first; they may be out of date. */
  readonly seeds: readonly string[];
}

/** A running proxy of statement sessions. */
export interface StatementProxy {
  readonly gateway: Gateway;
  /** Ages of the local copies of the store's tables. */
  tableAges(): readonly TableAge[];
  /** Share of all quotas that this proxy counts against through leases. */
  quotaPart(): number;
  /** Stops serving, and closes the connections of other proxies. */
  close(): void;
}

/**
 * How long a succession counts as in progress after the last change of its row:
 * other proxies don't take it over before.
 */
const CHANGE_HOLD: Milliseconds = 2500;

/**
 * How long a primary counts as reached after its last answered status probe:
 * the interval between two probes and a round trip between regions.
 */
const HEARD_WITHIN: Milliseconds = 450;

/** Targets report the primary; the rows only make it known sooner. */
const SUCCESSION_KNOWN_WITHIN: Milliseconds = 12_000;

const NOBODY: ReadonlySet<string> = new Set();

/** Result of requests to other proxies while there is no relay. */
const UNREACHED = createFailure('OUTCOME_UNKNOWN', {outcome: 'not_run'});

/** Primary check while there is no relay. */
function* nobodyAsked(): Task<boolean> {
  return false;
}

interface SeenRow extends VersionedSuccession {
  readonly seenAt: Milliseconds;
}

/** Creates a proxy; its parts run until the runtime is shut down. */
export function createStatementProxy(
  options: StatementProxyOptions,
): StatementProxy {
  const {runtime, self, store, layout, delays, events, orderPromotion} =
    options;
  const {timer} = runtime;
  const rows = new Map<string, SeenRow>();
  const reported = new Set<string>();
  let isLeaderReached: LeaderCheck = nobodyAsked;
  let lostPeers: () => ReadonlySet<string> = () => NOBODY;
  let relay: Relay | undefined;
  const holders = createHolders({
    self,
    live: () => feed.live(),
    lost: () => lostPeers(),
  });

  function isHeard(link: TargetLink): boolean {
    const silence = timer.now() - link.lastAskedAt();
    return link.isReached() && silence < HEARD_WITHIN;
  }

  function isChanging(group: string): boolean {
    const row = rows.get(group);
    const phase = row?.succession.phase;
    const isUnderWay = phase === 'stopping' || phase === 'ordered';
    return (
      row !== undefined && isUnderWay && timer.now() - row.seenAt < CHANGE_HOLD
    );
  }

  function isConfigurationCurrent(): boolean {
    return feed.age(layout.configurationTable) <= delays.configuration;
  }

  function mayTrustKeys(): boolean {
    const {revocation = Infinity} = delays;
    return feed.age(layout.configurationTable) <= revocation;
  }

  function watch(group: TargetGroup): SuccessionWatch {
    return watchSuccession({
      runtime,
      group,
      store,
      orderPromotion,
      self: self.proxy,
      table: layout.successionTable,
      readStatus: options.readStatus,
      events: events.succession(group.group),
      isLeaderReachedElsewhere: () => isLeaderReached(group.group),
      row: () => rows.get(group.group),
      rowSeenAt: () => rows.get(group.group)?.seenAt ?? -Infinity,
    });
  }

  /** A proxy without a relay address doesn't share quotas with others. */
  function fleetSize(): number | undefined {
    return self.relayAddress === '' ? 1 : feed.fleetSize();
  }

  const quota = createQuota({
    runtime,
    self,
    limitOf: account => gateway.configuration.limitOf(account),
    hasLimits: () => gateway.configuration.hasLimits(),
    startAllowance: createStartAllowance(options.quotaTolerance),
    candidates: () =>
      feed.distributors().filter(({relayAddress}) => relayAddress !== ''),
    fleetSize,
    isUsable: ({relayAddress}) => relay?.isUsable(relayAddress) ?? false,
    request: ({relayAddress}, method, parameters, timeout) =>
      relay?.request(relayAddress, method, parameters, timeout) ??
      settledFuture(Err(UNREACHED)),
  });

  const gateway = createGateway({
    runtime,
    open: options.open,
    readStatus: options.readStatus,
    policies: options.policies,
    quota,
    events: events.gateway,
    groupEvents: events.targets,
    holds: holders.holds,
    holders: holders.count,
    isChanging,
    isConfigurationCurrent,
    mayTrustKeys,
    onGroup: watch,
    createRelay(local, isStopping) {
      if (self.relayAddress === '') {
        return {dispatcher: local, pending: () => 0, close: () => {}};
      }
      relay = createRelay({
        runtime,
        transport: options.transport,
        self,
        local,
        holders,
        events: events.gateway,
        settings: name => gateway.configuration.group(name),
        reachesLeader(name) {
          const leader = gateway.group(name)?.leader();
          return leader !== undefined && isHeard(leader);
        },
        isStopping,
        serveOthers: quota.serve,
        onListenFailure: events.onListenFailure,
      });
      isLeaderReached = relay.isLeaderReached;
      lostPeers = relay.lost;
      return relay;
    },
  });

  function takeConfiguration(tableRows: TableRows): void {
    const {value, findings} = layout.decodeConfiguration(tableRows);
    const isOld = value !== undefined && !gateway.configure(value);
    if (isOld) {
      return;
    }
    if (value !== undefined) {
      events.onConfiguration(value.version);
    }
    for (const message of findings) {
      events.onFinding('configuration', message);
    }
  }

  function takeRegistrations(tableRows: TableRows): void {
    const {value, findings} = layout.decodeRegistrations(tableRows);
    gateway.register(value);
    for (const message of findings) {
      if (!reported.has(message)) {
        reported.add(message);
        events.onFinding('registration', message);
      }
    }
  }

  function takeSuccession(key: string, {value, version}: StoredRow): void {
    const name = key.slice(SUCCESSION_PREFIX.length);
    const parsed = successionSchema.safeParse(value);
    if (!parsed.success || rows.get(name)?.version === version) {
      return;
    }
    rows.set(name, {succession: parsed.data, version, seenAt: timer.now()});
    const group = gateway.group(name);
    void group?.link(parsed.data.target)?.askStatus();
    group?.changes.give();
  }

  function takeSuccessions(tableRows: TableRows): void {
    for (const [key, row] of tableRows) {
      if (key.startsWith(SUCCESSION_PREFIX)) {
        takeSuccession(key, row);
      }
    }
  }

  const feed = createTableFeed({
    runtime,
    store,
    self,
    transport: options.transport,
    capacity: options.capacity,
    seeds: options.seeds,
    distributorTable: layout.distributorTable,
    tables: [
      {
        table: layout.configurationTable,
        knownWithin: delays.configuration,
        onRows: takeConfiguration,
      },
      {
        table: layout.registrationTable,
        knownWithin: delays.registrations,
        onRows: takeRegistrations,
      },
      {
        table: layout.successionTable,
        knownWithin: SUCCESSION_KNOWN_WITHIN,
        onRows: takeSuccessions,
      },
    ],
    events: events.tables,
  });

  function close(): void {
    feed.close();
    gateway.close();
  }

  return {
    gateway,
    tableAges: feed.ages,
    quotaPart: quota.lentPart,
    close,
  };
}
