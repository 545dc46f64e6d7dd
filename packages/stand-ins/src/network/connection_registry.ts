/** Registry of the connections of the fake network. */
import type {Address} from '@kelpstep/rpc';

import {Endpoint, Frame, createEndpoint} from './endpoint';
import type {HostProcess} from './host_process';

/** Both ends of a connection; the client's end comes first. */
export type ConnectionEnds = readonly [Endpoint, Endpoint];

/**
 * The connections of one network. Closed ones are removed when the number of
 * connections reaches a threshold.
 */
export interface ConnectionRegistry {
  /** Creates an open connection and returns its ends. */
  connect(
    client: HostProcess,
    server: HostProcess,
    clientAddress: Address,
    serverAddress: Address,
  ): ConnectionEnds;
  /** Connections between two hosts with at least one open end. */
  between(left: string, right: string): ConnectionEnds[];
  /** Open ends on a host, each paired with its remote end. */
  endsOf(host: string): ConnectionEnds[];
}

/** Minimum number of connections before closed ones are removed. */
const MINIMUM_SWEEP_COUNT = 64;

/** Creates an empty registry; `transmit` sends a frame between two ends. */
export function createConnectionRegistry(
  transmit: (sender: Endpoint, receiver: Endpoint, frame: Frame) => void,
): ConnectionRegistry {
  let connections: ConnectionEnds[] = [];
  let sweepThreshold = MINIMUM_SWEEP_COUNT;

  function removeClosedConnections(): void {
    connections = connections.filter(ends => ends.some(end => end.isOpen()));
    sweepThreshold = Math.max(MINIMUM_SWEEP_COUNT, 2 * connections.length);
  }

  function connect(
    client: HostProcess,
    server: HostProcess,
    clientAddress: Address,
    serverAddress: Address,
  ): ConnectionEnds {
    const clientEnd: Endpoint = createEndpoint({
      host: client.host,
      process: client.timer,
      remoteAddress: serverAddress,
      transmit: frame => transmit(clientEnd, serverEnd, frame),
    });
    const serverEnd: Endpoint = createEndpoint({
      host: server.host,
      process: server.timer,
      remoteAddress: clientAddress,
      transmit: frame => transmit(serverEnd, clientEnd, frame),
    });
    const ends: ConnectionEnds = [clientEnd, serverEnd];
    connections.push(ends);
    if (connections.length >= sweepThreshold) {
      removeClosedConnections();
    }
    return ends;
  }

  function between(left: string, right: string): ConnectionEnds[] {
    removeClosedConnections();
    return connections.filter(
      ([client, server]) =>
        (client.host === left && server.host === right) ||
        (client.host === right && server.host === left),
    );
  }

  function endsOf(host: string): ConnectionEnds[] {
    return connections
      .flatMap(([client, server]): ConnectionEnds[] => [
        [client, server],
        [server, client],
      ])
      .filter(([own]) => own.host === host && own.isOpen());
  }

  return {connect, between, endsOf};
}
