/** One end of a connection of the fake network. */
import type {Connection, ConnectionListener} from '@kelpstep/rpc';

import {Fifo, createFifo} from '../fifo';
import type {HostTimer} from './host_timer';

/**
 * What travels on a connection. Messages arrive as a copy made from their
 * text: nothing is shared. Predicates look at the original.
 */
export type Frame =
  | {
      readonly kind: 'message';
      readonly text: string;
      readonly original: object;
    }
  /** The orderly end of the stream. */
  | {readonly kind: 'close'}
  /** The other kernel does not know the connection; lost if it is cut. */
  | {readonly kind: 'reset'};

/** The request methods that an end has sent, by JSON-RPC id. */
export type RequestMethods = Map<unknown, string>;

/** One end of a connection. */
export interface Endpoint {
  /** IP of its host. */
  readonly host: string;
  readonly process: HostTimer;
  readonly connection: Connection;
  /** Frames on their way here, the oldest first. */
  readonly inFlight: Fifo<Frame>;
  /** Frames that met a cut; sent again once it is healed. */
  readonly stalled: Fifo<Frame>;
  readonly requestMethods: RequestMethods;
  /** Latest time of arrival of the frames in flight. */
  lastArrival: number;
  /** True once the network has lost track of the connection. */
  silent: boolean;
  isOpen(): boolean;
  /** Gives a frame to the process. */
  accept(frame: Frame): void;
  /** Ends this side without a word to anyone. */
  abandon(): void;
}

/** What an endpoint is made of. */
export interface EndpointOptions {
  readonly host: string;
  readonly process: HostTimer;
  readonly remoteAddress: string;
  /** Sends a frame to the other end. */
  readonly transmit: (frame: Frame) => void;
}

/** Creates an open endpoint. */
export function createEndpoint(options: EndpointOptions): Endpoint {
  const {host, process, remoteAddress, transmit} = options;
  const early: unknown[] = [];
  let listener: ConnectionListener | undefined;
  let open = true;
  let closeReason: string | undefined;

  function end(reason: string): void {
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
      end(reason);
    }
  }

  function listen(newListener: ConnectionListener): void {
    listener = newListener;
    for (const message of early.splice(0)) {
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
      end(frame.kind === 'close' ? 'closed by the other end' : 'reset');
    } else if (listener === undefined) {
      early.push(JSON.parse(frame.text));
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
