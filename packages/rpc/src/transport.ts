/** What a channel needs of the network, so that tests can pass a fake. */
import {Future} from '@kelpstep/runtime';
import {Result} from 'ts-results';

/** Where a process listens: `ip:port`. */
export type Address = string;

/** Why a connection could not be opened or listened for. */
export interface TransportError {
  readonly kind: 'refused' | 'timeout' | 'unreachable' | 'address-in-use';
  readonly message: string;
}

/** What a connection tells its user. */
export interface ConnectionListener {
  /** One JSON value arrived. */
  onMessage(message: unknown): void;
  /** The connection ended, by either side; called once, nothing after it. */
  onClose(reason: string): void;
}

/** An open connection that carries JSON values in order, or ends. */
export interface Connection {
  readonly remoteAddress: Address;
  /** Sends a JSON value. Dropped without a word once the connection ended. */
  send(message: object): void;
  /** Ends the connection; `onClose` follows. */
  close(reason: string): void;
  /** Names the one listener; messages before that are kept for it. */
  listen(listener: ConnectionListener): void;
}

/** A listening port. */
export interface Listener {
  readonly address: Address;
  /** Stops accepting; open connections stay. */
  close(): void;
}

/** The network. */
export interface Transport {
  /** Opens a connection within a time, milliseconds. */
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
