/** The network interface of peers, which tests replace with a fake. */
import {Future} from '@kelpstep/runtime';
import {Result} from 'ts-results';

/** Address of a listening process, `ip:port`. */
export type Address = string;

/** Reason why dialling or listening failed. */
export interface TransportError {
  readonly kind: 'refused' | 'timeout' | 'unreachable' | 'address-in-use';
  readonly message: string;
}

/** Callbacks of a connection. */
export interface ConnectionListener {
  /** Called with each received JSON value. */
  onMessage(message: unknown): void;
  /** Called once, after all messages, when either end closes the connection. */
  onClose(reason: string): void;
}

/** A connection that delivers JSON values in order until it is closed. */
export interface Connection {
  readonly remoteAddress: Address;
  /** Sends a JSON value; silently ignored once the connection is closed. */
  send(message: object): void;
  /** Closes the connection; `onClose` is called. */
  close(reason: string): void;
  /** Sets the only listener; earlier messages are buffered for it. */
  listen(listener: ConnectionListener): void;
}

/** A listening port. */
export interface Listener {
  readonly address: Address;
  /** Stops accepting connections; open ones remain. */
  close(): void;
}

/** Opens and accepts connections. */
export interface Transport {
  /** Opens a connection; `timeout` is in milliseconds. */
  dial(
    address: Address,
    timeout: number,
  ): Future<Result<Connection, TransportError>>;
  /** Accepts connections. Port 0 means any free port. */
  listen(
    address: Address,
    accept: (connection: Connection) => void,
  ): Future<Result<Listener, TransportError>>;
}
