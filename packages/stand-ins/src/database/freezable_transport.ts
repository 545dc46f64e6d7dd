/** A transport that delays its events while its process is frozen. */
import {mapFuture} from '@kelpstep/runtime';
import type {Connection, ConnectionListener, Transport} from '@kelpstep/rpc';

import type {HostTimer} from '../network/host_timer';

function wrapConnection(connection: Connection, timer: HostTimer): Connection {
  function listen(listener: ConnectionListener): void {
    connection.listen({
      onMessage: message => timer.run(() => listener.onMessage(message)),
      onClose: reason => timer.run(() => listener.onClose(reason)),
    });
  }
  return {...connection, listen};
}

/** Wraps a transport so that its events run through a host timer. */
export function createFreezableTransport(
  transport: Transport,
  timer: HostTimer,
): Transport {
  return {
    dial: (address, timeout) =>
      mapFuture(transport.dial(address, timeout), dialled =>
        dialled.map(connection => wrapConnection(connection, timer)),
      ),
    listen: (address, accept) =>
      transport.listen(address, connection =>
        timer.run(() => accept(wrapConnection(connection, timer))),
      ),
  };
}
