/**
 * Wires a proxy of statement sessions: what it follows in the platform's store,
 * the gateway, and the watch over each group's primary.
 */
import {
  type AskForTables,
  type RelayedTables,
  startStorePresence,
  startTableRelay,
} from '@kelpstep/membership';
import type {
  StoreFailure,
  StoredRow,
  TableFollower,
  TableRows,
  TableStore,
} from '@kelpstep/platform';
import {followTable} from '@kelpstep/platform';
import type {AdmissionPolicies} from '@kelpstep/pool';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';
import type {
  OpenTargetConnection,
  ReadTargetStatus,
} from '@kelpstep/statements';
import {
  type OrderPromotion,
  SUCCESSION_PREFIX,
  type SuccessionEvents,
  type VersionedSuccession,
  successionSchema,
  watchSuccession,
} from '@kelpstep/succession';
import type {
  TargetGroup,
  TargetGroupEvents,
  TargetRegistration,
} from '@kelpstep/targets';

import type {GatewayConfiguration} from './configuration';
import {type Gateway, createGateway} from './create_gateway';
import type {GatewayEvents} from './gateway_events';

/** What was decoded, and what had to be left out. */
export interface Decoded<T> {
  readonly value: T;
  readonly findings: readonly string[];
}

/** Where the store keeps what, and how it is decoded. */
export interface StoreLayout {
  readonly configurationTable: string;
  readonly registrationTable: string;
  /** Table of the proxies' own rows: one feed for all of them. */
  readonly ownTable: string;
  /** Undefined while there is no configuration. */
  decodeConfiguration(
    rows: TableRows,
  ): Decoded<GatewayConfiguration> | undefined;
  decodeRegistrations(rows: TableRows): Decoded<readonly TargetRegistration[]>;
}

/** What a proxy tells of itself, for logs and metrics. */
export interface StatementProxyEvents {
  readonly gateway: GatewayEvents;
  targets(group: string): TargetGroupEvents;
  succession(group: string): SuccessionEvents;
  onConfiguration(version: number): void;
  /** Something in the store that can't be used. */
  onFinding(place: 'configuration' | 'registration', message: string): void;
  /** A newer table was taken from another proxy. */
  onRelayed(table: string, peer: string, version: number): void;
  onFeed(table: string, isFollowing: boolean, failure?: StoreFailure): void;
}

/** What a proxy is made of. */
export interface StatementProxyOptions {
  readonly runtime: Runtime;
  /** Name of this proxy. */
  readonly self: string;
  readonly store: TableStore;
  readonly layout: StoreLayout;
  readonly open: OpenTargetConnection;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  readonly policies: AdmissionPolicies;
  readonly events: StatementProxyEvents;
  /** Where other proxies reach this one; empty if they don't. */
  readonly address: string;
  /** Addresses of proxies to ask first; they may be out of date. */
  readonly seeds: readonly string[];
  readonly askForTables: AskForTables;
}

/** A running proxy of statement sessions. */
export interface StatementProxy {
  readonly gateway: Gateway;
  /** What it hands on to proxies that the store doesn't answer. */
  tables(): RelayedTables;
}

/** Other proxies keep their turn for so long after the row's last step. */
const CHANGE_HOLD: Milliseconds = 2500;

interface SeenRow extends VersionedSuccession {
  readonly seenAt: Milliseconds;
}

/** Creates a proxy; its parts run until the runtime is shut down. */
export function createStatementProxy(
  options: StatementProxyOptions,
): StatementProxy {
  const {runtime, self, store, layout, events, orderPromotion} = options;
  const {timer} = runtime;
  const rows = new Map<string, SeenRow>();
  const reported = new Set<string>();
  const followers = new Map<string, TableFollower>();
  const presence = startStorePresence({
    runtime,
    store,
    self,
    address: options.address,
    table: layout.ownTable,
  });

  function isChanging(group: string): boolean {
    const row = rows.get(group);
    const phase = row?.succession.phase;
    const isUnderWay = phase === 'stopping' || phase === 'ordered';
    return (
      row !== undefined && isUnderWay && timer.now() - row.seenAt < CHANGE_HOLD
    );
  }

  function watch(group: TargetGroup): void {
    watchSuccession({
      runtime,
      group,
      store,
      orderPromotion,
      self,
      table: layout.ownTable,
      readStatus: options.readStatus,
      events: events.succession(group.group),
      row: () => rows.get(group.group),
      rowSeenAt: () => rows.get(group.group)?.seenAt ?? -Infinity,
    });
  }

  const gateway = createGateway({
    runtime,
    open: options.open,
    readStatus: options.readStatus,
    policies: options.policies,
    events: events.gateway,
    groupEvents: events.targets,
    liveProxies: presence.count,
    isChanging,
    onGroup: watch,
  });

  function follow(table: string, onRows: (rows: TableRows) => void): void {
    const follower = followTable({
      runtime,
      store,
      table,
      onRows,
      onFeed: (isFollowing, failure) =>
        events.onFeed(table, isFollowing, failure),
    });
    followers.set(table, follower);
  }

  function takeConfiguration(tableRows: TableRows): void {
    const decoded = layout.decodeConfiguration(tableRows);
    if (decoded === undefined || !gateway.configure(decoded.value)) {
      return;
    }
    events.onConfiguration(decoded.value.version);
    for (const message of decoded.findings) {
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

  function takeOwnRows(tableRows: TableRows): void {
    presence.onRows(tableRows);
    for (const [key, row] of tableRows) {
      if (key.startsWith(SUCCESSION_PREFIX)) {
        takeSuccession(key, row);
      }
    }
  }

  follow(layout.configurationTable, takeConfiguration);
  follow(layout.registrationTable, takeRegistrations);
  follow(layout.ownTable, takeOwnRows);
  const relay = startTableRelay({
    runtime,
    followers,
    ask: options.askForTables,
    peers() {
      const known = new Set([...options.seeds, ...presence.addresses()]);
      known.delete(options.address);
      return [...known];
    },
    onTaken: events.onRelayed,
  });
  return {gateway, tables: relay.tables};
}
