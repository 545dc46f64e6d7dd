/** Types of the pool of connections to a target. */
import type {Member} from '@kelpstep/manifest';
import type {Method} from '@kelpstep/protocol';
import type {RequestFailure, Transport} from '@kelpstep/rpc';
import type {Future, Milliseconds, Runtime} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {AdmissionPolicies} from './admission';
import type {ShareRule} from './connection_share';
import type {ConnectionTimes} from './connection_times';
import type {Lease} from './lease';

/** Policies of a pool. */
export interface PoolPolicies extends AdmissionPolicies {
  readonly connectionShare: ShareRule;
}

/** Options of a pool. */
export interface TargetPoolOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly member: Member;
  readonly liveProxies: number;
  readonly policies: PoolPolicies;
  readonly times: ConnectionTimes;
  /** Maximum number of queued requests. */
  readonly queueCapacity: number;
}

/** Attributes of a request that determine its admission. */
export interface RequestAttributes {
  /** Groups requests of similar service time. */
  readonly kind: string;
  readonly worth: number;
  /** Monotonic time by which the target must have answered. */
  readonly deadline: Milliseconds;
}

/** Outcome of a request. */
export interface Attempt<R> {
  /** A failure with `sent` false means refused by the pool; nothing was run. */
  readonly reply: Result<R, RequestFailure>;
  readonly queueTime: Milliseconds;
}

/** Outcome of a request whose sender keeps the connection. */
export interface LeaseAttempt<R> extends Attempt<R> {
  /** Defined if the reply is a result. */
  readonly lease: Lease | undefined;
}

/** Load of a target as observed by this proxy. */
export interface PoolLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly connections: number;
  readonly concurrencyLimit: number;
  readonly connectionShare: number;
  readonly shed: number;
}

/** A request to a target. */
export interface TargetRequest<P, R> {
  readonly work: RequestAttributes;
  readonly method: Method<P, R>;
  readonly parameters: P;
  /** Time-out for the answer, from sending the request. */
  readonly timeout: Milliseconds;
}

/** Admission and connections of the statements for one target. */
export interface TargetPool {
  /** Runs one request. */
  run<P, R>(request: TargetRequest<P, R>): Future<Attempt<R>>;
  /** Runs one request and, if it succeeds, leases its connection and slot. */
  lease<P, R>(request: TargetRequest<P, R>): Future<LeaseAttempt<R>>;
  /** Predicted time until a request of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Shortest round trip observed; `undefined` before any connection. */
  roundTrip(): Milliseconds | undefined;
  /** Sets the number of connections kept open while idle, within the share. */
  keepWarm(connections: number): void;
  /** Updates the connection limit and the number of live proxies. */
  updateShare(connectionLimit: number, liveProxies: number): void;
  /**
   * Closes surplus idle connections, probes the others and opens missing ones.
   * To be called a few times per second.
   */
  tick(): void;
  load(): PoolLoad;
  /**
   * Fails the queued requests and closes the idle connections. Running requests
   * finish, and their connections are closed afterwards.
   */
  close(): void;
}
