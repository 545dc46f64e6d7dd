/** Connections to other proxies, opened when they are needed. */
import {Method, createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import {RequestFailure, RpcPeer, createRpcPeer} from './peer';
import {Address, Transport, TransportError} from './transport';

/** Sends requests to other proxies by their address. */
export interface PeerLinks {
  /** The connection to a proxy; opened if there is none. */
  connect(
    address: Address,
    timeout: Milliseconds,
  ): Future<Result<RpcPeer, TransportError>>;
  request<P, R>(
    address: Address,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /** Open connections. */
  size(): number;
  close(): void;
}

/** What peer links are made of. */
export interface PeerLinksOptions {
  readonly transport: Transport;
  readonly timer: TimerService;
  /** A connection that is not used for so long is closed. */
  readonly idleTime?: Milliseconds;
}

interface Link {
  readonly opened: Future<Result<RpcPeer, TransportError>>;
  lastUsed: Milliseconds;
}

const DEFAULT_IDLE_TIME: Milliseconds = 30_000;
const CLOSED_BY_US = 'no longer used';

function notSent(error: TransportError): RequestFailure {
  const {message} = error;
  const failure = createFailure('OUTCOME_UNKNOWN', {
    message,
    outcome: 'not_run',
  });
  return {kind: 'closed', sent: false, failure};
}

/** Creates links without connections. */
export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
  const {transport, timer} = options;
  const idleTime = options.idleTime ?? DEFAULT_IDLE_TIME;
  const links = new Map<Address, Link>();

  function open(address: Address, timeout: Milliseconds): Link {
    const opened = createDeferred<Result<RpcPeer, TransportError>>();
    const link: Link = {opened: opened.future, lastUsed: timer.now()};
    links.set(address, link);
    transport.dial(address, timeout).onSettled(dialled => {
      if (dialled.err) {
        forget(address, link);
      }
      opened.settle(
        dialled.map(connection => createRpcPeer({connection, timer})),
      );
    });
    opened.future.onSettled(result => {
      if (result.ok) {
        result.val.closed.onSettled(() => forget(address, link));
      }
    });
    return link;
  }

  function forget(address: Address, link: Link): void {
    if (links.get(address) === link) {
      links.delete(address);
    }
  }

  /** A silent connection is dropped: the next request opens a fresh one. */
  function dropIfSilent(peer: RpcPeer, since: Milliseconds): void {
    if (peer.lastHeardAt() < since) {
      peer.close('silent');
    }
  }

  function connect(
    address: Address,
    timeout: Milliseconds,
  ): Future<Result<RpcPeer, TransportError>> {
    const link = links.get(address) ?? open(address, timeout);
    link.lastUsed = timer.now();
    return link.opened;
  }

  function request<P, R>(
    address: Address,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>> {
    const reply = createDeferred<Result<R, RequestFailure>>();
    const startedAt = timer.now();
    connect(address, timeout).onSettled(opened => {
      if (opened.err) {
        reply.settle(Err(notSent(opened.val)));
        return;
      }
      const peer = opened.val;
      const left = Math.max(0, startedAt + timeout - timer.now());
      peer.request(method, parameters, left).onSettled(result => {
        if (result.err && result.val.kind === 'timeout') {
          dropIfSilent(peer, startedAt);
        }
        reply.settle(result);
      });
    });
    return reply.future;
  }

  function closeLink(link: Link, reason: string): void {
    link.opened.onSettled(opened => {
      if (opened.ok) {
        opened.val.close(reason);
      }
    });
  }

  function closeUnused(): void {
    const limit = timer.now() - idleTime;
    for (const [address, link] of [...links]) {
      if (link.lastUsed < limit) {
        forget(address, link);
        closeLink(link, CLOSED_BY_US);
      }
    }
  }

  const stopClosing = timer.every(idleTime, closeUnused);
  return {
    connect,
    request,
    size: () => links.size,
    close() {
      stopClosing();
      for (const link of [...links.values()]) {
        closeLink(link, 'proxy stops');
      }
      links.clear();
    },
  };
}
