/** The port for peers: accepts connections and serves their methods. */
import {
  Address,
  HandlerTable,
  Listener,
  RpcPeer,
  Transport,
  TransportError,
  createRpcPeer,
} from '@kelpstep/rpc';
import {Future, TimerService, mapFuture} from '@kelpstep/runtime';
import {Ok, Result} from 'ts-results';

/** A port that serves peers. */
export interface PeerPort {
  listen(): Future<Result<undefined, TransportError>>;
  close(): void;
}

/** What the port is made of. */
export interface PeerPortOptions {
  readonly transport: Transport;
  readonly timer: TimerService;
  readonly address: Address;
  readonly handlers: HandlerTable;
}

const CLOSE_REASON = 'proxy stops';

/** Creates the port; it listens once it is told. */
export function createPeerPort(options: PeerPortOptions): PeerPort {
  const {transport, timer, address, handlers} = options;
  const accepted = new Set<RpcPeer>();
  let listener: Listener | undefined;

  return {
    listen() {
      const listening = transport.listen(address, connection => {
        const peer = createRpcPeer({connection, timer, handlers});
        accepted.add(peer);
        peer.closed.onSettled(() => accepted.delete(peer));
      });
      return mapFuture(listening, result => {
        if (result.err) {
          return result;
        }
        listener = result.val;
        return Ok(undefined);
      });
    },
    close() {
      listener?.close();
      [...accepted].forEach(peer => peer.close(CLOSE_REASON));
    },
  };
}
