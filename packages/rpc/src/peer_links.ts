/** Connections to other proxies, opened on demand. */
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
  /** Returns the connection to a proxy, opening one if necessary. */
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
  /** Number of connections, including those being opened. */
  size(): number;
  close(): void;
}

/** The idle time is 30 s by default. */
export interface PeerLinksOptions {
  readonly transport: Transport;
  readonly timer: TimerService;
  /** Time without requests after which a connection is closed. */
  readonly idleTime?: Milliseconds;
}

interface Link {
  readonly opened: Future<Result<RpcPeer, TransportError>>;
  lastUsed: Milliseconds;
}

const DEFAULT_IDLE_TIME_MS: Milliseconds = 30_000;
const IDLE_CLOSE_REASON = 'no longer used';

function createNotSentFailure(error: TransportError): RequestFailure {
  const {message} = error;
  const failure = createFailure('OUTCOME_UNKNOWN', {
    message,
    outcome: 'not_run',
  });
  return {kind: 'closed', sent: false, failure};
}

/** Creates peer links without open connections. */
export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
  const {transport, timer} = options;
  const idleTime = options.idleTime ?? DEFAULT_IDLE_TIME_MS;
  const links = new Map<Address, Link>();

  function open(address: Address, timeout: Milliseconds): Link {
    const opened = createDeferred<Result<RpcPeer, TransportError>>();
    const link: Link = {opened: opened.future, lastUsed: timer.now()};
    links.set(address, link);
    transport.dial(address, timeout).onSettled(dialled => {
      if (dialled.err) {
        removeLink(address, link);
      }
      opened.settle(
        dialled.map(connection => createRpcPeer({connection, timer})),
      );
    });
    opened.future.onSettled(result => {
      if (result.ok) {
        result.val.closed.onSettled(() => removeLink(address, link));
      }
    });
    return link;
  }

  function removeLink(address: Address, link: Link): void {
    if (links.get(address) === link) {
      links.delete(address);
    }
  }

  /**
   * Closes a connection that has received nothing since a time; the next
   * request opens a new one.
   */
  function closeIfUnresponsive(peer: RpcPeer, since: Milliseconds): void {
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
        reply.settle(Err(createNotSentFailure(opened.val)));
        return;
      }
      const peer = opened.val;
      const remainingTime = Math.max(0, startedAt + timeout - timer.now());
      peer.request(method, parameters, remainingTime).onSettled(result => {
        if (result.err && result.val.kind === 'timeout') {
          closeIfUnresponsive(peer, startedAt);
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

  function closeIdleLinks(): void {
    const oldestUse = timer.now() - idleTime;
    for (const [address, link] of [...links]) {
      if (link.lastUsed < oldestUse) {
        removeLink(address, link);
        closeLink(link, IDLE_CLOSE_REASON);
      }
    }
  }

  const cancelIdleCheck = timer.every(idleTime, closeIdleLinks);
  return {
    connect,
    request,
    size: () => links.size,
    close() {
      cancelIdleCheck();
      for (const link of [...links.values()]) {
        closeLink(link, 'proxy stops');
      }
      links.clear();
    },
  };
}
