/** Listens on an address until stopped. */
import type {Address, Connection, Transport} from './transport';

/** Address to listen on, and the listeners for connections and failures. */
export interface AcceptOptions {
  readonly transport: Transport;
  readonly address: Address;
  accept(connection: Connection): void;
  /** Called if listening on the address fails. */
  onFailure(message: string): void;
}

/** Starts listening. The returned function ends it; open connections remain. */
export function acceptConnections(options: AcceptOptions): () => void {
  const listening = options.transport.listen(options.address, options.accept);
  listening.onSettled(result => {
    if (result.err) {
      options.onFailure(result.val.message);
    }
  });
  return () => {
    listening.onSettled(result => {
      if (result.ok) {
        result.val.close();
      }
    });
  };
}
