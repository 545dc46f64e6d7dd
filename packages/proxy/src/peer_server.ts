/** The RPC server for peers: accepts connections and serves peer methods. */
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

/** Listens for connections of peers. */
export interface PeerServer {
  listen(): Future<Result<undefined, TransportError>>;
  close(): void;
}

/** Dependencies and listen address of a peer server. */
export interface PeerServerOptions {
  readonly transport: Transport;
  readonly timer: TimerService;
  readonly address: Address;
  readonly handlers: HandlerTable;
}

const CLOSE_REASON = 'proxy stops';

/** Creates a peer server, which accepts connections after `listen`. */
export function createPeerServer(options: PeerServerOptions): PeerServer {
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
