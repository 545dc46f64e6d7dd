/**
 * Wires a proxy of statement sessions: the tables of the platform's store, the
 * gateway, and the failure detector of each group's primary.
 */
import {
  type QuotaOutcome,
  type QuotaTolerance,
  createQuota,
  createStartAllowance,
} from '@kelpstep/accounts';
import {
  type TableRows,
  type TableStore,
  createRowWriter,
} from '@kelpstep/platform';
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
  type PrimaryView,
  type SuccessionEvents,
  createCopyRecords,
  createSuccessionRecords,
  evidenceOfGroup,
} from '@kelpstep/succession';
import {
  type ProxyDescriptor,
  type TableAge,
  type TableFeedEvents,
  createTableFeed,
} from '@kelpstep/table-feed';
import type {
  GroupSettings,
  TargetGroupEvents,
  TargetRegistration,
} from '@kelpstep/targets';
import {Err} from 'ts-results';

import type {GatewayConfiguration} from './configuration';
import {type Gateway, createGateway} from './create_gateway';
import type {GatewayEvents} from './gateway_events';
import {monitorPrimary} from './monitor_primary';
import {createPrimaryChanges} from './primary_changes';
import {createConnectionOwners} from './relay/connection_owners';
import {type Relay, createRelay} from './relay/create_relay';
import type {EvidenceRequest} from './relay/commit_evidence';
import {viewOfGroup} from './relay/group_view';
import type {PrimaryCheck} from './relay/primary_check';
import {MAXIMUM_PROOF_AGE_MS} from './select_target';

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
export interface StalenessBounds {
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
  /** Called for an entry in the store that can't be used. */
  onFinding(place: 'configuration' | 'registration', message: string): void;
  /**
   * Called if the relay address can't be listened on: peers can't relay here.
   */
  onListenFailure(message: string): void;
  /** Called for each answer of this proxy as a quota coordinator. */
  onQuotaAnswer(priority: number, outcome: QuotaOutcome): void;
}

/** What a statement proxy is made of: store, transport, targets and limits. */
export interface StatementProxyOptions {
  readonly runtime: Runtime;
  readonly self: Omit<ProxyDescriptor, 'capacity'>;
  /**
   * Capacity in cores. Proxies with more capacity become distributors sooner,
   * and connection owners of more groups.
   */
  readonly capacity: number;
  /** Carries tables and statements between proxies. */
  readonly transport: Transport;
  readonly store: TableStore;
  readonly layout: StoreLayout;
  readonly stalenessBounds: StalenessBounds;
  /** Tolerated excess over quotas at the start; undefined if there is none. */
  readonly quotaTolerance?: QuotaTolerance | undefined;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  /**
   * True if the platform refuses promotion orders with a lower epoch than an
   * earlier one; false by default.
   */
  readonly arePromotionsFenced?: boolean;
  readonly policies: AdmissionPolicies;
  /** True if targets that do not answer statements are ejected. */
  readonly outlierDetection?: boolean | undefined;
  readonly events: StatementProxyEvents;
  /** Addresses of proxies to contact first; they may be out of date. */
  readonly seeds: readonly string[];
}

/** A proxy whose parts are running. */
export interface StatementProxy {
  readonly gateway: Gateway;
  /** Ages of the local copies of the store's tables. */
  tableAges(): readonly TableAge[];
  /** Sum of the shares of all quotas leased to this proxy now, from 0 to 1. */
  quotaShare(): number;
  /** Number of groups of which this proxy is a connection owner. */
  ownedGroups(): number;
  /**
   * Number of groups of which this proxy is a connection owner and has no recent
   * proof of freshness.
   */
  unprovedGroups(): number;
  /** Stops serving, and closes the connections of other proxies. */
  close(): void;
}

/**
 * Staleness bound of the succession table. It may be long: targets report the
 * primary, and the rows only make it known sooner.
 */
const SUCCESSION_STALENESS_BOUND_MS: Milliseconds = 12_000;

const NO_PEERS: ReadonlySet<string> = new Set();

/** Result of requests to other proxies while there is no relay. */
const NO_PEERS_FAILURE = createFailure('OUTCOME_UNKNOWN', {outcome: 'not_run'});

/** Primary check while there is no relay: no peer can be asked. */
function* reachedByNoPeer(): Task<PrimaryView> {
  return 'unreached';
}

/** Creates a proxy, whose parts run until the runtime is shut down. */
export function createStatementProxy(
  options: StatementProxyOptions,
): StatementProxy {
  const {
    runtime,
    store,
    layout,
    stalenessBounds: delays,
    events,
    orderPromotion,
  } = options;
  const self: ProxyDescriptor = {...options.self, capacity: options.capacity};
  const {timer} = runtime;
  const reportedFindings = new Set<string>();
  let primaryViewOfPeers: PrimaryCheck = reachedByNoPeer;
  let evidenceOfPeers: EvidenceRequest = () => [];
  let lostPeers: () => ReadonlySet<string> = () => NO_PEERS;
  let relay: Relay | undefined;
  /** True while the store's configuration is older than the one in force. */
  let isStoreBehind = false;
  const rowWriter = createRowWriter(store, layout.successionTable);
  const successions = createSuccessionRecords({
    runtime,
    self: self.proxy,
    rowWriter,
    table: layout.successionTable,
    onChange(name, {target}) {
      const group = gateway.group(name);
      void group?.link(target)?.probeStatus();
      group?.changes.notify();
    },
  });
  const copyRecords = createCopyRecords(timer);
  const {isPrimaryChanging, isSuperseded} = createPrimaryChanges({
    timer,
    row: successions.get,
    leadership: name => gateway.group(name)?.positions.leader(),
    receivedEnd: (name, target) =>
      gateway.group(name)?.positions.receivedEnd(target),
    rowAge: () => feed.age(layout.successionTable),
  });
  const connectionOwners = createConnectionOwners({
    self,
    live: () => feed.live(),
    lost: () => lostPeers(),
    hasAccounts: () => gateway.configuration.current()?.accounts !== undefined,
  });

  function isConfigurationCurrent(): boolean {
    return (
      !isStoreBehind &&
      feed.age(layout.configurationTable) <= delays.configuration
    );
  }

  function mayTrustKeys(): boolean {
    const {revocation = Infinity} = delays;
    return feed.age(layout.configurationTable) <= revocation;
  }

  /**
   * Number of proxies that share all quotas: 1 for a proxy without a relay
   * address, which shares them with no other.
   */
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
    proxyCount: fleetSize,
    isUsable: ({relayAddress}) => relay?.isUsable(relayAddress) ?? false,
    request: ({relayAddress}, method, parameters, timeout) =>
      relay?.request(relayAddress, method, parameters, timeout) ??
      settledFuture(Err(NO_PEERS_FAILURE)),
    onAnswer: events.onQuotaAnswer,
  });

  const gateway = createGateway({
    runtime,
    open: options.open,
    readStatus: options.readStatus,
    policies: options.policies,
    outlierDetection: options.outlierDetection,
    quota,
    events: events.gateway,
    groupEvents: events.targets,
    ownsConnections: connectionOwners.ownsConnections,
    ownerCount: connectionOwners.count,
    isPrimaryChanging,
    isSuperseded,
    isConfigurationCurrent,
    mayTrustKeys,
    monitorPrimary: group =>
      monitorPrimary({
        runtime,
        group,
        store,
        rowWriter,
        orderPromotion,
        arePromotionsFenced: options.arePromotionsFenced ?? false,
        self: self.proxy,
        table: layout.successionTable,
        readStatus: options.readStatus,
        events: events.succession(group.group),
        viewOfPeers: () => primaryViewOfPeers(group.group),
        evidenceOfPeers: () => evidenceOfPeers(group.group),
        successions,
        copyRecords,
        hasReadTable: () => feed.age(layout.successionTable) < Infinity,
      }),
    createRelay(local, stopPhase) {
      if (self.relayAddress === '') {
        return {dispatcher: local, pending: () => 0, close: () => {}};
      }
      relay = createRelay({
        runtime,
        transport: options.transport,
        self,
        local,
        connectionOwners,
        events: events.gateway,
        settings: name => gateway.configuration.group(name),
        viewOf: name => viewOfGroup(gateway.group(name), timer.now()),
        evidenceOf(name) {
          const group = gateway.group(name);
          return group
            ? evidenceOfGroup({
                group,
                known: copyRecords.get(name),
                now: timer.now(),
              })
            : {mayLackCopies: false};
        },
        stopPhase,
        registerHandlers: quota.serve,
        onListenFailure: events.onListenFailure,
      });
      primaryViewOfPeers = relay.primaryViewOfPeers;
      evidenceOfPeers = relay.evidenceOfPeers;
      lostPeers = relay.lost;
      return relay;
    },
  });

  function applyConfiguration(tableRows: TableRows): void {
    const {value, findings} = layout.decodeConfiguration(tableRows);
    const known = gateway.configuration.current()?.version ?? -Infinity;
    isStoreBehind = (value?.version ?? -Infinity) < known;
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

  function applyRegistrations(tableRows: TableRows): void {
    const {value, findings} = layout.decodeRegistrations(tableRows);
    gateway.register(value);
    for (const message of findings) {
      if (!reportedFindings.has(message)) {
        reportedFindings.add(message);
        events.onFinding('registration', message);
      }
    }
  }

  const feed = createTableFeed({
    runtime,
    store,
    rowWriter,
    self,
    transport: options.transport,
    capacity: options.capacity,
    seeds: options.seeds,
    distributorTable: layout.distributorTable,
    tables: [
      {
        table: layout.configurationTable,
        stalenessBound: delays.configuration,
        onRows: applyConfiguration,
      },
      {
        table: layout.registrationTable,
        stalenessBound: delays.registrations,
        onRows: applyRegistrations,
      },
      {
        table: layout.successionTable,
        stalenessBound: SUCCESSION_STALENESS_BOUND_MS,
        onRows(rows, position) {
          successions.update(rows, position);
          copyRecords.update(rows, position);
        },
      },
    ],
    events: events.tables,
  });

  function listOwnedGroups(): GroupSettings[] {
    const groups = gateway.configuration.current()?.groups ?? [];
    return groups.filter(connectionOwners.ownsConnections);
  }

  function isUnproved({group}: GroupSettings): boolean {
    const coveredAt = gateway.group(group)?.positions.coveredAt() ?? -Infinity;
    return timer.now() - coveredAt >= MAXIMUM_PROOF_AGE_MS;
  }

  function close(): void {
    feed.close();
    gateway.close();
  }

  return {
    gateway,
    tableAges: feed.ages,
    quotaShare: quota.leasedShare,
    ownedGroups: () => listOwnedGroups().length,
    unprovedGroups: () => listOwnedGroups().filter(isUnproved).length,
    close,
  };
}
