/** Types of the request service and of the functions that it is given. */
import type {GroupView} from '@kelpstep/failover';
import type {Manifest} from '@kelpstep/manifest';
import type {ErrorName, ProxyIdentity} from '@kelpstep/protocol';
import type {HandlerTable, RequestFailure, Transport} from '@kelpstep/rpc';
import type {Future, Milliseconds, Runtime} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {PrimaryOutage} from './group_record';
import type {RequestLimits} from './limits';
import type {RequestPolicies} from './policies';

/** Methods that a proxy forwards to the owner of a transaction. */
export type ForwardedMethod = 'read' | 'write' | 'commit' | 'rollback';

/**
 * Sends `peer.forward` to another proxy. The result is the answer for the
 * caller; a failure of kind `refused` carries the owner's failure unchanged.
 */
export type ForwardRequest = (
  owner: ProxyIdentity,
  method: ForwardedMethod,
  request: unknown,
  timeout: Milliseconds,
) => Future<Result<unknown, RequestFailure>>;

/** Summary of a finished caller request, for metrics and logs. */
export interface RequestEnd {
  /** Name of the caller's method. */
  readonly method: string;
  readonly group: string;
  /** Request kind; undefined if the request named none. */
  readonly kind: string | undefined;
  /** `ok`, or the name of the error in the answer. */
  readonly outcome: 'ok' | ErrorName;
  /** Time from the request's arrival to its answer. */
  readonly duration: Milliseconds;
  /** Part of the duration that was spent in the targets' queues. */
  readonly queueTime: Milliseconds;
  /** Member id of the target that answered, if one did. */
  readonly servedBy: string | undefined;
  readonly role: 'primary' | 'replica' | undefined;
  /** Upper bound for the age of a read's data. */
  readonly age: Milliseconds | undefined;
  /** Number of attempts after the first. */
  readonly retries: number;
}

/**
 * Dependencies of the request service. The functions may be called at any time
 * until `close`.
 */
export interface RequestServiceOptions {
  readonly runtime: Runtime;
  readonly self: ProxyIdentity;
  /** Opens the connections to the targets. */
  readonly transport: Transport;
  /** The manifest in force; undefined until there is one. */
  manifest(): Manifest | undefined;
  /** False while a newer manifest may be in force elsewhere. */
  isManifestCurrent(): boolean;
  /** The view of a group; undefined if the manifest has no such group. */
  groupView(group: string): GroupView | undefined;
  /** Called when requests of a group begin to find no primary. */
  onPrimaryUnavailable?(outage: PrimaryOutage): void;
  /** Number of proxies that share the targets, including this one. */
  liveProxyCount(): number;
  /**
   * Finds a proxy that may own a transaction, including a stopping one;
   * undefined if it has stopped.
   */
  findProxy(proxy: string, incarnation: string): ProxyIdentity | undefined;
  readonly forward: ForwardRequest;
  readonly policies?: Partial<RequestPolicies>;
  readonly limits?: Partial<RequestLimits>;
  onRequestEnd?(end: RequestEnd): void;
  /**
   * Called when serving a request throws; the request is answered with
   * `INTERNAL_ERROR`. The default rethrows the error.
   */
  onFault?(error: unknown, method: string): void;
}

/** Load of one target caused by this proxy, for metrics. */
export interface TargetLoad {
  readonly target: string;
  /** Number of statements and transactions that hold a connection. */
  readonly inFlight: number;
  readonly queued: number;
  readonly connections: number;
  /** Current adaptive limit of concurrent statements. */
  readonly concurrencyLimit: number;
  /** Number of connections that this proxy may open. */
  readonly connectionShare: number;
  /** Requests shed since the start for lack of time or queue capacity. */
  readonly shed: number;
}

/** Request service of one proxy: validates, routes and answers requests. */
export interface RequestService {
  /** Handlers of read, write, begin, commit, rollback and outcome. */
  readonly callerHandlers: HandlerTable;
  /** Adds the handler of `peer.forward` to the peers' handler table. */
  addPeerHandlers(table: HandlerTable): void;
  /** Applies a change of the manifest in force or of the live proxies. */
  reconfigure(): void;
  /** Answers new requests with `STOPPING`; open transactions continue. */
  stopAccepting(): void;
  /**
   * Stops accepting new requests. The future settles once no request is in
   * flight and no transaction is open. Transactions that are still open after
   * `transactionTime` are rolled back.
   */
  drain(transactionTime: Milliseconds): Future<undefined>;
  /** Number of requests that have not been answered yet. */
  inFlight(): number;
  openTransactions(): number;
  targetLoads(): readonly TargetLoad[];
  /** Closes all connections to the targets; to be called after `drain`. */
  close(): void;
}
