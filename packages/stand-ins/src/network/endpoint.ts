/** One end of a connection of the fake network. */
import type {Connection, ConnectionListener} from '@kelpstep/rpc';

import {Fifo, createFifo} from '../fifo';
import type {HostTimer} from './host_timer';

/**
 * Unit of transmission on a connection. The receiver gets a copy parsed from
 * `text`, so no objects are shared; message predicates get the original.
 */
export type Frame =
  | {
      readonly kind: 'message';
      readonly text: string;
      readonly original: object;
    }
  /** Orderly end of the stream. */
  | {readonly kind: 'close'}
  /** The remote host doesn't know the connection; not retransmitted. */
  | {readonly kind: 'reset'};

/** Methods of the requests that an end has sent, by JSON-RPC id. */
export type RequestMethods = Map<unknown, string>;

/** One end of a connection. */
export interface Endpoint {
  /** IP address of its host. */
  readonly host: string;
  readonly process: HostTimer;
  readonly connection: Connection;
  /** Frames in transit to this end, oldest first. */
  readonly inFlight: Fifo<Frame>;
  /** Frames stopped by a partition; retransmitted when it heals. */
  readonly stalled: Fifo<Frame>;
  readonly requestMethods: RequestMethods;
  /** Latest arrival time of the frames in flight. */
  lastArrival: number;
  /** True if the network drops all frames of the connection. */
  silent: boolean;
  isOpen(): boolean;
  /** Delivers a frame to the process. */
  accept(frame: Frame): void;
  /** Closes this end without notifying the process or the remote end. */
  abandon(): void;
}

export interface EndpointOptions {
  readonly host: string;
  readonly process: HostTimer;
  readonly remoteAddress: string;
  /** Sends a frame to the remote end. */
  readonly transmit: (frame: Frame) => void;
}

/** Creates an open endpoint. */
export function createEndpoint(options: EndpointOptions): Endpoint {
  const {host, process, remoteAddress, transmit} = options;
  const earlyMessages: unknown[] = [];
  let listener: ConnectionListener | undefined;
  let open = true;
  let closeReason: string | undefined;

  function closeLocally(reason: string): void {
    if (!open) {
      return;
    }
    open = false;
    closeReason = reason;
    listener?.onClose(reason);
  }

  function send(message: object): void {
    if (open && !process.isStopped()) {
      const text = JSON.stringify(message);
      transmit({kind: 'message', text, original: message});
    }
  }

  function close(reason: string): void {
    if (open && !process.isStopped()) {
      transmit({kind: 'close'});
      closeLocally(reason);
    }
  }

  function listen(newListener: ConnectionListener): void {
    listener = newListener;
    for (const message of earlyMessages.splice(0)) {
      listener.onMessage(message);
    }
    if (closeReason !== undefined) {
      listener.onClose(closeReason);
    }
  }

  function accept(frame: Frame): void {
    if (!open) {
      return;
    }
    if (frame.kind !== 'message') {
      closeLocally(
        frame.kind === 'close' ? 'closed by the other end' : 'reset',
      );
    } else if (listener === undefined) {
      earlyMessages.push(JSON.parse(frame.text));
    } else {
      listener.onMessage(JSON.parse(frame.text));
    }
  }

  return {
    host,
    process,
    connection: {remoteAddress, send, close, listen},
    inFlight: createFifo(),
    stalled: createFifo(),
    requestMethods: new Map(),
    lastArrival: 0,
    silent: false,
    isOpen: () => open,
    accept,
    abandon: () => {
      open = false;
    },
  };
}
