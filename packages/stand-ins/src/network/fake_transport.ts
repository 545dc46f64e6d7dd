/** Dialling and listening on the fake network, for one process. */
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

/** What a transport needs of its network. */
export interface FakeTransportOptions {
  readonly process: HostProcess;
  readonly timer: TimerService;
  readonly travelTime: (from: string, to: string) => Milliseconds;
  readonly canPass: (from: string, to: string) => boolean;
  /** The process on the host of an address, dead or alive. */
  readonly processAt: (address: Address) => HostProcess | undefined;
  /** Creates both ends of a connection, the client's first. */
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

const FIRST_FREE_PORT = 40_000;

type DialResult = Result<Connection, TransportError>;

/** Creates the transport of one process. */
export function createFakeTransport(options: FakeTransportOptions): Transport {
  const {process, timer, travelTime, canPass, processAt} = options;
  const {host} = process;
  let nextFreePort = FIRST_FREE_PORT;

  function freeAddress(): Address {
    return `${host}:${nextFreePort++}`;
  }

  /** Runs an action on this process when a packet from `from` arrives. */
  function onReturn(from: string, duration: number, action: () => void): void {
    timer.after(duration, () => {
      if (canPass(from, host)) {
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
      clientEnd = answerDial(address, dialled);
    });
    return dialled.future;
  }

  /** The first packet of a dial has reached the host of the address. */
  function answerDial(
    address: Address,
    dialled: Deferred<DialResult>,
  ): Endpoint | undefined {
    const server = processAt(address);
    if (server === undefined || !canPass(host, server.host)) {
      return undefined;
    }
    const duration = travelTime(server.host, host);
    const accept = server.listeners.get(address);
    if (accept === undefined) {
      const message = `Nobody listens on ${address}.`;
      onReturn(server.host, duration, () =>
        dialled.settle(Err({kind: 'refused', message})),
      );
      return undefined;
    }
    const [clientEnd, serverEnd] = options.connect(
      process,
      server,
      freeAddress(),
      address,
    );
    // What the server sends first comes behind the answer to the dial.
    clientEnd.lastArrival = timer.now() + duration;
    onReturn(server.host, duration, () =>
      dialled.settle(Ok(clientEnd.connection)),
    );
    server.timer.run(() => accept(serverEnd.connection));
    return clientEnd;
  }

  function listen(address: Address, accept: (connection: Connection) => void) {
    if (process.timer.isStopped()) {
      return createDeferred<Result<Listener, TransportError>>().future;
    }
    const bound = address.endsWith(':0') ? freeAddress() : address;
    if (process.listeners.has(bound)) {
      const message = `${bound} is in use.`;
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
