/** Counts the traffic of a transport as the TCP transport would frame it. */
import type {Connection, Transport} from '@kelpstep/rpc';
import {mapFuture} from '@kelpstep/runtime';

/** Traffic since the counts were last reset. */
export interface Traffic {
  sentMessages: number;
  receivedMessages: number;
  /**
   * Bytes of JSON text and line ends, which are the TCP payload without
   * headers.
   */
  sentBytes: number;
  receivedBytes: number;
}

export function createTraffic(): Traffic {
  return {sentMessages: 0, receivedMessages: 0, sentBytes: 0, receivedBytes: 0};
}

export function resetTraffic(traffic: Traffic): void {
  Object.assign(traffic, createTraffic());
}

const LINE_END_BYTES = 1;

function createCountingConnection(
  connection: Connection,
  traffic: Traffic,
): Connection {
  return {
    ...connection,
    send(message) {
      const text = JSON.stringify(message);
      traffic.sentMessages++;
      traffic.sentBytes += Buffer.byteLength(text) + LINE_END_BYTES;
      connection.send(message);
    },
    listen({onMessage, onClose}) {
      connection.listen({
        onMessage(message) {
          const text = JSON.stringify(message);
          traffic.receivedMessages++;
          traffic.receivedBytes += Buffer.byteLength(text) + LINE_END_BYTES;
          // The fake network passes objects; a real proxy parses the text.
          onMessage(JSON.parse(text));
        },
        onClose,
      });
    },
  };
}

/** Wraps a transport to count its outgoing and incoming connections' traffic. */
export function createCountingTransport(
  transport: Transport,
  traffic: Traffic,
): Transport {
  return {
    dial: (address, timeout) =>
      mapFuture(transport.dial(address, timeout), dialled =>
        dialled.map(connection =>
          createCountingConnection(connection, traffic),
        ),
      ),
    listen: (address, accept) =>
      transport.listen(address, connection =>
        accept(createCountingConnection(connection, traffic)),
      ),
  };
}
