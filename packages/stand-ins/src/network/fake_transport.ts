/** Transport of one process on the fake network. */
import {
  Deferred,
  Milliseconds,
  TimerService,
  createDeferred,
  settledFuture,
} from '@kelpstep/runtime';
import type {
  Address,
  Connection,
  Listener,
  Transport,
  TransportError,
} from '@kelpstep/rpc';
import {Err, Ok, Result} from 'ts-results';

import type {Endpoint} from './endpoint';
import type {HostProcess} from './host_process';

export interface FakeTransportOptions {
  readonly process: HostProcess;
  readonly timer: TimerService;
  readonly travelTime: (from: string, to: string) => Milliseconds;
  readonly canReach: (from: string, to: string) => boolean;
  /** The latest process on the host of an address, running or stopped. */
  readonly processAt: (address: Address) => HostProcess | undefined;
  /** Creates a connection; returns its ends, the client's end first. */
  readonly connect: (
    client: HostProcess,
    server: HostProcess,
    clientAddress: Address,
    serverAddress: Address,
  ) => readonly [Endpoint, Endpoint];
}

/** The host part of `ip:port`. */
export function hostOf(address: Address): string {
  return address.slice(0, address.lastIndexOf(':'));
}

const FIRST_EPHEMERAL_PORT = 40_000;

type DialResult = Result<Connection, TransportError>;

/** Creates the transport of one process. */
export function createFakeTransport(options: FakeTransportOptions): Transport {
  const {process, timer, travelTime, canReach, processAt} = options;
  const {host} = process;
  let nextEphemeralPort = FIRST_EPHEMERAL_PORT;

  function allocateAddress(): Address {
    return `${host}:${nextEphemeralPort++}`;
  }

  /** Runs an action in this process when a packet from a host arrives. */
  function runOnArrival(
    from: string,
    duration: number,
    action: () => void,
  ): void {
    timer.after(duration, () => {
      if (canReach(from, host)) {
        process.timer.run(action);
      }
    });
  }

  function dial(address: Address, timeout: Milliseconds) {
    const dialled = createDeferred<DialResult>();
    if (process.timer.isStopped()) {
      return dialled.future;
    }
    let clientEnd: Endpoint | undefined;
    const cancelTimeout = process.timer.after(timeout, () => {
      const message = 'No connection in time.';
      if (dialled.settle(Err({kind: 'timeout', message}))) {
        clientEnd?.abandon();
      }
    });
    dialled.future.onSettled(cancelTimeout);
    timer.after(travelTime(host, hostOf(address)), () => {
      clientEnd = handleDial(address, dialled);
    });
    return dialled.future;
  }

  /** Handles a dial when its first packet arrives at the remote host. */
  function handleDial(
    address: Address,
    dialled: Deferred<DialResult>,
  ): Endpoint | undefined {
    const server = processAt(address);
    if (server === undefined || !canReach(host, server.host)) {
      return undefined;
    }
    const duration = travelTime(server.host, host);
    const accept = server.listeners.get(address);
    if (accept === undefined) {
      const message = `No process listens on ${address}.`;
      runOnArrival(server.host, duration, () =>
        dialled.settle(Err({kind: 'refused', message})),
      );
      return undefined;
    }
    const [clientEnd, serverEnd] = options.connect(
      process,
      server,
      allocateAddress(),
      address,
    );
    // The server's first frame must not arrive before the answer to the dial.
    clientEnd.lastArrival = timer.now() + duration;
    runOnArrival(server.host, duration, () =>
      dialled.settle(Ok(clientEnd.connection)),
    );
    server.timer.run(() => accept(serverEnd.connection));
    return clientEnd;
  }

  function listen(address: Address, accept: (connection: Connection) => void) {
    if (process.timer.isStopped()) {
      return createDeferred<Result<Listener, TransportError>>().future;
    }
    const bound = address.endsWith(':0') ? allocateAddress() : address;
    if (process.listeners.has(bound)) {
      const message = `${bound} is already in use.`;
      return settledFuture<Result<Listener, TransportError>>(
        Err({kind: 'address-in-use', message}),
      );
    }
    process.listeners.set(bound, accept);
    return settledFuture<Result<Listener, TransportError>>(
      Ok({address: bound, close: () => process.listeners.delete(bound)}),
    );
  }

  return {dial, listen};
}
