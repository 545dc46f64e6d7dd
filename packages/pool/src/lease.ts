/** Exclusive use of a connection for a transaction. */
import type {Method} from '@kelpstep/protocol';
import type {RequestFailure, RpcPeer} from '@kelpstep/rpc';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** Exclusive use of a connection until it is released or abandoned. */
export interface Lease {
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /**
   * Returns the connection to the pool. It is closed instead if a request on it
   * got no answer or an unreadable one.
   */
  release(): void;
  /** Closes the connection, which rolls its transaction back. */
  abandon(reason: string): void;
  /** Settles with the reason when the connection is closed. */
  readonly closed: Future<string>;
}

/** Receives the end of a lease. */
export interface LeaseListener {
  onRelease(): void;
  onAbandon(reason: string): void;
}

/** True if the connection's state is unknown after this failure. */
export function leavesStateUnknown(failure: RequestFailure): boolean {
  return failure.kind !== 'refused';
}

/** Creates a lease. At its end one of the listener's functions is called once. */
export function createLease(peer: RpcPeer, listener: LeaseListener): Lease {
  let isEnded = false;
  let isStateUnknown = false;

  function abandon(reason: string): void {
    if (!isEnded) {
      isEnded = true;
      listener.onAbandon(reason);
    }
  }

  return {
    request(method, parameters, timeout) {
      const reply = peer.request(method, parameters, timeout);
      reply.onSettled(result => {
        isStateUnknown ||= result.err && leavesStateUnknown(result.val);
      });
      return reply;
    },
    release() {
      if (isStateUnknown || peer.pendingRequests() > 0) {
        abandon('state in doubt');
      } else if (!isEnded) {
        isEnded = true;
        listener.onRelease();
      }
    },
    abandon,
    closed: peer.closed,
  };
}
