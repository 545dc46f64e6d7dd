/** Wires the parts that run statements through peers and run theirs here. */
import type {PresentProxy} from '@kelpstep/table-feed';
import {
  type HandlerTable,
  type Transport,
  acceptConnections,
} from '@kelpstep/rpc';
import type {Runtime} from '@kelpstep/runtime';
import type {GroupSettings} from '@kelpstep/targets';

import type {GatewayRelay} from '../create_gateway';
import type {LocalDispatcher} from '../dispatch';
import type {GatewayEvents} from '../gateway_events';
import type {Holders} from './connection_owners';
import {type LeaderCheck, createLeaderCheck} from './primary_check';
import {type RelayClient, createRelayClient} from './relay_client';
import {createRelayServer} from './relay_server';
import {createRelayingDispatcher} from './relaying_dispatcher';

/** Dependencies of a relay. */
export interface RelayOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly self: PresentProxy;
  readonly local: LocalDispatcher;
  readonly holders: Holders;
  readonly events: GatewayEvents;
  settings(group: string): GroupSettings | undefined;
  /** True if the group's primary has recently answered this proxy. */
  reachesLeader(group: string): boolean;
  isStopping(): boolean;
  /** Registers further request handlers for other proxies. */
  serveOthers(handlers: HandlerTable): void;
  /** The relay address could not be listened on. */
  onListenFailure(message: string): void;
}

/** A running relay. */
export interface Relay extends GatewayRelay {
  /** Whether another proxy reaches the group's primary. */
  readonly isLeaderReached: LeaderCheck;
  readonly request: RelayClient['request'];
  readonly isUsable: RelayClient['isUsable'];
  /** Relay addresses of proxies that have been unreachable for some time. */
  lost(): ReadonlySet<string>;
}

/** Creates a relay and starts to listen for other proxies. */
export function createRelay(options: RelayOptions): Relay {
  const {runtime, transport, self, local, holders, events} = options;
  const client = createRelayClient({
    runtime,
    transport,
    self: self.proxy,
    isListed: holders.isListed,
  });
  const server = createRelayServer({
    runtime,
    local,
    events,
    reachesLeader: options.reachesLeader,
    isStopping: options.isStopping,
    serveOthers: options.serveOthers,
  });

  function peers(group: string): readonly PresentProxy[] {
    const settings = options.settings(group);
    return settings === undefined ? [] : holders.others(settings);
  }

  const dispatcher = createRelayingDispatcher({
    runtime,
    local,
    client,
    place: self,
    holds(group) {
      const settings = options.settings(group);
      const isLeft = holders.areKnown() && settings !== undefined;
      return !isLeft || holders.holds(settings);
    },
    peers,
  });
  const stopListening = acceptConnections({
    transport,
    address: self.relayAddress,
    accept: server.accept,
    onFailure: options.onListenFailure,
  });

  function close(): void {
    client.close();
    stopListening();
  }

  const isLeaderReached = createLeaderCheck({runtime, client, peers});
  return {
    dispatcher,
    isLeaderReached,
    request: client.request,
    isUsable: client.isUsable,
    lost: client.lost,
    pending: server.pending,
    close,
  };
}
