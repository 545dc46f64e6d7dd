/** Transport of a proxy whose messages are replaced before they are sent. */
import type {Connection, Transport} from '@kelpstep/rpc';
import {mapFuture} from '@kelpstep/runtime';

/** Returns the message that `proxy` sends in place of `message`. */
export type ReplaceMessage = (proxy: string, message: object) => object;

/** Creates a transport that sends `replace(message)` for each message. */
export function createReplacingTransport(
  transport: Transport,
  replace: (message: object) => object,
): Transport {
  function wrap(connection: Connection): Connection {
    return {
      ...connection,
      send: message => connection.send(replace(message)),
    };
  }

  return {
    dial: (address, timeout) =>
      mapFuture(transport.dial(address, timeout), dialled => dialled.map(wrap)),
    listen: (address, accept) =>
      transport.listen(address, connection => accept(wrap(connection))),
  };
}
