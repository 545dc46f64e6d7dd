/** What the request service is made of, and what it offers. */
import type {GroupView} from '@kelpstep/failover';
import type {Manifest} from '@kelpstep/manifest';
import type {ErrorName, ProxyIdentity} from '@kelpstep/protocol';
import type {HandlerTable, RequestFailure, Transport} from '@kelpstep/rpc';
import type {Future, Milliseconds, Runtime} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {RequestLimits} from './limits';
import type {RequestPolicies} from './policies';

/** Methods that a proxy hands to the owner of a transaction. */
export type ForwardedMethod = 'read' | 'write' | 'commit' | 'rollback';

/**
 * Sends `peer.forward` to another proxy. The result is the caller's; a
 * failure of kind `refused` carries the owner's failure as it stands.
 */
export type ForwardRequest = (
  owner: ProxyIdentity,
  method: ForwardedMethod,
  request: unknown,
  timeout: Milliseconds,
) => Future<Result<unknown, RequestFailure>>;

/** What became of a request of a caller, for metrics and logs. */
export interface RequestEnd {
  /** A caller's method. */
  readonly method: string;
  readonly group: string;
  /** Request kind; undefined if the request named none. */
  readonly kind: string | undefined;
  /** `ok`, or the error that was answered. */
  readonly outcome: 'ok' | ErrorName;
  /** From the request's arrival to its answer. */
  readonly duration: Milliseconds;
  /** Part of the duration that was spent in queues of targets. */
  readonly queueTime: Milliseconds;
  /** Target that answered, if one did. */
  readonly servedBy: string | undefined;
  readonly role: 'primary' | 'replica' | undefined;
  /** Upper bound of the age of a read's data. */
  readonly age: Milliseconds | undefined;
  /** Attempts after the first. */
  readonly retries: number;
}

/** What the request service is made of. */
export interface RequestServiceOptions {
  readonly runtime: Runtime;
  readonly self: ProxyIdentity;
  /** Opens the connections for statements. */
  readonly transport: Transport;
  /** The manifest in force; undefined until there is one. */
  manifest(): Manifest | undefined;
  /** False while a newer manifest may be in force elsewhere. */
  isManifestCurrent(): boolean;
  /** The view of a group of the manifest; undefined for other names. */
  groupView(group: string): GroupView | undefined;
  /** How many proxies share the targets, this one included. */
  liveProxyCount(): number;
  /**
   * A proxy that may own a transaction, also while it stops; undefined if it
   * is gone.
   */
  findProxy(proxy: string, incarnation: string): ProxyIdentity | undefined;
  readonly forward: ForwardRequest;
  readonly policies?: Partial<RequestPolicies>;
  readonly limits?: Partial<RequestLimits>;
  onRequestEnd?(end: RequestEnd): void;
  /**
   * Called when serving a request throws; it is then answered with
   * `INTERNAL_ERROR`. By default the error is thrown on.
   */
  onFault?(error: unknown, method: string): void;
}

/** Load of one target as this proxy sees it, for metrics. */
export interface TargetLoad {
  readonly target: string;
  /** Statements and transactions that hold a connection. */
  readonly inFlight: number;
  readonly queued: number;
  readonly connections: number;
  /** Statements that may run at a time, as adapted. */
  readonly concurrencyLimit: number;
  /** Connections that this proxy may open. */
  readonly connectionShare: number;
  /** Requests refused for want of time or room, since the start. */
  readonly shed: number;
}

/** Serves callers' requests. */
export interface RequestService {
  /** read, write, begin, commit, rollback and outcome. */
  readonly callerHandlers: HandlerTable;
  /** Adds the handler of `peer.forward` to the table for peers. */
  addPeerHandlers(table: HandlerTable): void;
  /** Tells that the manifest in force or the live proxies changed. */
  reconfigure(): void;
  /** Answers new work with `STOPPING`; open transactions go on. */
  stopAccepting(): void;
  /**
   * Settles once no request is in flight and no transaction open.
   * Transactions that are still open after `transactionTime` are rolled back.
   */
  drain(transactionTime: Milliseconds): Future<undefined>;
  /** Requests without an answer so far. */
  inFlight(): number;
  openTransactions(): number;
  targetLoads(): readonly TargetLoad[];
  /** Closes all connections to targets; for after `drain`. */
  close(): void;
}
