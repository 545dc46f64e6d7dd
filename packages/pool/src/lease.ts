/** A connection held for a transaction. */
import type {Method} from '@kelpstep/protocol';
import type {RequestFailure, RpcPeer} from '@kelpstep/rpc';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** A connection that its holder alone uses until it releases it. */
export interface Lease {
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /**
   * Gives the connection back. It is closed instead if a request on it got no
   * answer or none that could be read.
   */
  release(): void;
  /** Closes the connection, which rolls its transaction back. */
  abandon(reason: string): void;
  /** Settles when the connection ends. */
  readonly closed: Future<string>;
}

/** What a lease does at its end. */
export interface LeaseEnd {
  onRelease(): void;
  onAbandon(reason: string): void;
}

/** True if the connection's state is unknown after this failure. */
export function leavesDoubt(failure: RequestFailure): boolean {
  return failure.kind !== 'refused';
}

/** Creates a lease; exactly one function of `end` is called, once. */
export function createLease(peer: RpcPeer, end: LeaseEnd): Lease {
  let isOver = false;
  let isDoubtful = false;

  function abandon(reason: string): void {
    if (!isOver) {
      isOver = true;
      end.onAbandon(reason);
    }
  }

  return {
    request(method, parameters, timeout) {
      const reply = peer.request(method, parameters, timeout);
      reply.onSettled(result => {
        isDoubtful ||= result.err && leavesDoubt(result.val);
      });
      return reply;
    },
    release() {
      if (isDoubtful || peer.pendingRequests() > 0) {
        abandon('state in doubt');
      } else if (!isOver) {
        isOver = true;
        end.onRelease();
      }
    },
    abandon,
    closed: peer.closed,
  };
}
