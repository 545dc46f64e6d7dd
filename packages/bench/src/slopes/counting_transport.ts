/** Counts what passes a transport, as the TCP transport would frame it. */
import type {Connection, Transport} from '@kelpstep/rpc';
import {mapFuture} from '@kelpstep/runtime';

/** What passed since the counts were last set to 0. */
export interface Traffic {
  sentMessages: number;
  receivedMessages: number;
  /** JSON text and line end: TCP's payload, without headers. */
  sentBytes: number;
  receivedBytes: number;
}

/** Traffic without anything. */
export function createTraffic(): Traffic {
  return {sentMessages: 0, receivedMessages: 0, sentBytes: 0, receivedBytes: 0};
}

/** Sets the counts to 0. */
export function resetTraffic(traffic: Traffic): void {
  Object.assign(traffic, createTraffic());
}

const LINE_END_BYTES = 1;

function countConnection(connection: Connection, traffic: Traffic): Connection {
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
          // The fake network passes objects; a daemon would parse the text.
          onMessage(JSON.parse(text));
        },
        onClose,
      });
    },
  };
}

/** A transport whose connections, dialled or accepted, are counted. */
export function countTransport(
  transport: Transport,
  traffic: Traffic,
): Transport {
  return {
    dial: (address, timeout) =>
      mapFuture(transport.dial(address, timeout), dialled =>
        dialled.map(connection => countConnection(connection, traffic)),
      ),
    listen: (address, accept) =>
      transport.listen(address, connection =>
        accept(countConnection(connection, traffic)),
      ),
  };
}
