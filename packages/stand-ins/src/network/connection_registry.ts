/** The connections of the fake network, each with both its ends. */
import type {Address} from '@kelpstep/rpc';

import {Endpoint, Frame, createEndpoint} from './endpoint';
import type {HostProcess} from './host_process';

/** Both ends of a connection, the client's first. */
export type ConnectionEnds = readonly [Endpoint, Endpoint];

/** The connections of a network. */
export interface ConnectionRegistry {
  /** Creates an open connection. */
  connect(
    client: HostProcess,
    server: HostProcess,
    clientAddress: Address,
    serverAddress: Address,
  ): ConnectionEnds;
  /** Connections between two hosts that at least one end holds open. */
  between(left: string, right: string): ConnectionEnds[];
  /** Ends of a host that are open, each with the other end. */
  endsOf(host: string): ConnectionEnds[];
}

/** Fewest connections at which ended ones are looked for. */
const MINIMUM_SWEEP = 64;

/** Creates an empty registry; `transmit` carries a frame between two ends. */
export function createConnectionRegistry(
  transmit: (sender: Endpoint, receiver: Endpoint, frame: Frame) => void,
): ConnectionRegistry {
  let connections: ConnectionEnds[] = [];
  let nextSweep = MINIMUM_SWEEP;

  function sweep(): void {
    connections = connections.filter(ends => ends.some(end => end.isOpen()));
    nextSweep = Math.max(MINIMUM_SWEEP, 2 * connections.length);
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
    if (connections.length >= nextSweep) {
      sweep();
    }
    return ends;
  }

  function between(left: string, right: string): ConnectionEnds[] {
    sweep();
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
