/**
 * Connections to other proxies, opened when needed. An open connection can go
 * silent while new ones work, so a request that it fails is sent once more on
 * a fresh one before the peer counts as silent: only idempotent methods.
 */
import {Failure, Method, createFailure} from '@kelpstep/protocol';
import {
  HandlerTable,
  RequestFailure,
  RpcPeer,
  Transport,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

/** Connections to peers by address. */
export interface PeerConnections {
  /** Sends an idempotent request; settles within the timeout. */
  request<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, Failure>>;
  /** Open connections. */
  size(): number;
  /** Ends all connections; no request may follow. */
  close(reason: string): void;
}

/** What connections are made of. */
export interface PeerConnectionsOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  /** Methods that the other end may call on these connections. */
  readonly handlers?: HandlerTable;
  /** A connection without a request for this long is closed. */
  readonly idleTimeout?: Milliseconds;
}

interface OpenConnection {
  readonly peer: RpcPeer;
  lastUsedAt: Milliseconds;
}

const DEFAULT_IDLE_TIMEOUT = 10_000;
/** Share of the timeout after which an open connection counts as silent. */
const OPEN_CONNECTION_SHARE = 0.5;

function unreachable(message: string): Failure {
  return createFailure('OUTCOME_UNKNOWN', {message, outcome: 'not_run'});
}

/** Creates a set without connections. */
export function createPeerConnections(
  options: PeerConnectionsOptions,
): PeerConnections {
  const {runtime, transport, handlers} = options;
  const {timer} = runtime;
  const idleTimeout = options.idleTimeout ?? DEFAULT_IDLE_TIMEOUT;
  const connections = new Map<string, OpenConnection>();
  const dialling = new Map<string, Future<Result<RpcPeer, Failure>>>();
  const stopClosingIdle = timer.every(idleTimeout, closeIdle);

  function closeIdle(): void {
    for (const {peer, lastUsedAt} of connections.values()) {
      if (timer.now() - lastUsedAt >= idleTimeout) {
        peer.close('idle');
      }
    }
  }

  function keep(address: string, peer: RpcPeer): void {
    const open = {peer, lastUsedAt: timer.now()};
    connections.set(address, open);
    peer.closed.onSettled(() => {
      if (connections.get(address) === open) {
        connections.delete(address);
      }
    });
  }

  function* dial(
    address: string,
    timeout: Milliseconds,
  ): Task<Result<RpcPeer, Failure>> {
    const dialled = yield* waitFor(transport.dial(address, timeout));
    dialling.delete(address);
    if (dialled.err) {
      return Err(unreachable(dialled.val.message));
    }
    const peer = createRpcPeer({
      connection: dialled.val,
      timer,
      ...(handlers === undefined ? {} : {handlers}),
    });
    keep(address, peer);
    return Ok(peer);
  }

  /** Requests that need a connection at the same time share it. */
  function freshConnection(
    address: string,
    timeout: Milliseconds,
  ): Future<Result<RpcPeer, Failure>> {
    const inProgress = dialling.get(address);
    if (inProgress !== undefined) {
      return inProgress;
    }
    const {result} = runtime.spawn('dial peer', dial(address, timeout));
    if (!result.isSettled()) {
      dialling.set(address, result);
    }
    return result;
  }

  function* send<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Task<Result<R, Failure>> {
    const deadline = timer.now() + timeout;
    const open = connections.get(address);
    if (open !== undefined) {
      open.lastUsedAt = timer.now();
      const reply = yield* waitFor(
        open.peer.request(method, parameters, timeout * OPEN_CONNECTION_SHARE),
      );
      if (reply.ok || isAnswer(reply.val)) {
        return reply.mapErr(({failure}) => failure);
      }
      open.peer.close('silent');
    }
    const patience = Math.max(1, deadline - timer.now());
    const dialled = yield* waitAtMost(
      freshConnection(address, patience),
      patience,
    );
    if (dialled === undefined || dialled.err) {
      return dialled ?? Err(unreachable('No connection in time.'));
    }
    const remaining = Math.max(1, deadline - timer.now());
    const reply = yield* waitFor(
      dialled.val.request(method, parameters, remaining),
    );
    if (reply.err && !isAnswer(reply.val)) {
      dialled.val.close('silent');
    }
    return reply.mapErr(({failure}) => failure);
  }

  function isAnswer({kind}: RequestFailure): boolean {
    return kind === 'refused' || kind === 'malformed';
  }

  return {
    request: (address, method, parameters, timeout) =>
      runtime.spawn('peer request', send(address, method, parameters, timeout))
        .result,
    size: () => connections.size,
    close(reason) {
      stopClosingIdle();
      for (const {peer} of [...connections.values()]) {
        peer.close(reason);
      }
    },
  };
}
