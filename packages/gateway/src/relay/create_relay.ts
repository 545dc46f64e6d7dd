/**
 * Wires the relay, which runs this proxy's statements through peers and the
 * peers' statements here.
 */
import type {ProxyDescriptor} from '@kelpstep/table-feed';
import {
  type HandlerTable,
  type Transport,
  acceptConnections,
} from '@kelpstep/rpc';
import type {Runtime} from '@kelpstep/runtime';
import type {CommitEvidence, PeerView} from '@kelpstep/succession';
import type {GroupSettings} from '@kelpstep/targets';

import type {GatewayRelay} from '../create_gateway';
import type {LocalDispatcher} from '../dispatch';
import type {GatewayEvents} from '../gateway_events';
import type {StopPhase} from '../session_stop';
import type {ConnectionOwners} from './connection_owners';
import {type EvidenceRequest, createEvidenceRequest} from './commit_evidence';
import {type PrimaryCheck, createPrimaryCheck} from './primary_check';
import {type RelayClient, createRelayClient} from './relay_client';
import {createRelayServer} from './relay_server';
import {createRelayingDispatcher} from './relaying_dispatcher';

export interface RelayOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly self: ProxyDescriptor;
  readonly local: LocalDispatcher;
  readonly connectionOwners: ConnectionOwners;
  readonly events: GatewayEvents;
  settings(group: string): GroupSettings | undefined;
  /** Which targets of the group have recently answered this proxy. */
  viewOf(group: string): Required<PeerView>;
  /** Which commits of the group were acknowledged to this proxy. */
  evidenceOf(group: string): CommitEvidence;
  stopPhase(): StopPhase;
  /** Registers further request handlers for other proxies. */
  registerHandlers(handlers: HandlerTable): void;
  /** Called if the relay address can't be listened on. */
  onListenFailure(message: string): void;
}

/** A relay that listens for other proxies and can send them requests. */
export interface Relay extends GatewayRelay {
  /** Checks how other proxies reach the group's primary. */
  readonly primaryViewOfPeers: PrimaryCheck;
  /** Asks the group's other connection owners for acknowledged commits. */
  readonly evidenceOfPeers: EvidenceRequest;
  readonly request: RelayClient['request'];
  readonly isUsable: RelayClient['isUsable'];
  /** Relay addresses of proxies that have been unreachable for some time. */
  lost(): ReadonlySet<string>;
}

/** Creates a relay and starts to listen for other proxies. */
export function createRelay(options: RelayOptions): Relay {
  const {runtime, transport, self, local, connectionOwners, events} = options;
  const client = createRelayClient({
    runtime,
    transport,
    self: self.proxy,
    isLive: connectionOwners.isLive,
  });
  const server = createRelayServer({
    runtime,
    local,
    events,
    viewOf: options.viewOf,
    evidenceOf: options.evidenceOf,
    stopPhase: options.stopPhase,
    registerHandlers: options.registerHandlers,
  });

  function peers(group: string): readonly ProxyDescriptor[] {
    const settings = options.settings(group);
    return settings === undefined ? [] : connectionOwners.otherOwners(settings);
  }

  const dispatcher = createRelayingDispatcher({
    runtime,
    local,
    client,
    location: self,
    onPlacement: events.onPlacement,
    ownsConnections(group) {
      const settings = options.settings(group);
      const isLeftToOthers =
        connectionOwners.areKnown() && settings !== undefined;
      return !isLeftToOthers || connectionOwners.ownsConnections(settings);
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

  const primaryViewOfPeers = createPrimaryCheck({runtime, client, peers});
  return {
    dispatcher,
    primaryViewOfPeers,
    evidenceOfPeers: createEvidenceRequest({client, peers}),
    request: client.request,
    isUsable: client.isUsable,
    lost: client.lost,
    pending: server.pending,
    close,
  };
}
