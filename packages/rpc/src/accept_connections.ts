/** Listening for as long as something runs. */
import type {Address, Connection, Transport} from './transport';

/** What accepts connections. */
export interface AcceptOptions {
  readonly transport: Transport;
  readonly address: Address;
  accept(connection: Connection): void;
  /** The address could not be listened on. */
  onFailure(message: string): void;
}

/** Starts to listen; gives the function that stops it. Open connections stay. */
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
