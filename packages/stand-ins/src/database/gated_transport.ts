/** A transport whose events wait while its process is frozen. */
import {mapFuture} from '@kelpstep/runtime';
import type {Connection, ConnectionListener, Transport} from '@kelpstep/rpc';

import type {HostTimer} from '../network/host_timer';

function gateConnection(connection: Connection, timer: HostTimer): Connection {
  function listen(listener: ConnectionListener): void {
    connection.listen({
      onMessage: message => timer.run(() => listener.onMessage(message)),
      onClose: reason => timer.run(() => listener.onClose(reason)),
    });
  }
  return {...connection, listen};
}

/** Lets everything that comes from a transport pass a host timer. */
export function createGatedTransport(
  transport: Transport,
  timer: HostTimer,
): Transport {
  return {
    dial: (address, timeout) =>
      mapFuture(transport.dial(address, timeout), dialled =>
        dialled.map(connection => gateConnection(connection, timer)),
      ),
    listen: (address, accept) =>
      transport.listen(address, connection =>
        timer.run(() => accept(gateConnection(connection, timer))),
      ),
  };
}
