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

/** Rules of admission, and the limit of connections to the target. */
export interface PoolPolicies extends AdmissionPolicies {
  readonly connectionShare: ShareRule;
}

/** `liveProxies` is the number of live proxies when the pool is created. */
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
  /**
   * Relative value of an answer before the deadline, without a unit.
   * `VALUE_PER_SLOT_TIME` serves the highest value per expected slot time first.
   */
  readonly worth: number;
  /** Monotonic time by which the target must have answered. */
  readonly deadline: Milliseconds;
}

/** Outcome of a request, and the time that it waited to be sent or refused. */
export interface Attempt<R> {
  /**
   * A failure with `sent` false means that the pool refused the request or
   * could not reach the target; nothing was run.
   */
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

/**
 * A call of a target's method with the attributes that determine its admission.
 */
export interface TargetRequest<P, R> {
  readonly work: RequestAttributes;
  readonly method: Method<P, R>;
  readonly parameters: P;
  /**
   * Longest time from sending the request to its answer; the deadline can
   * shorten it.
   */
  readonly timeout: Milliseconds;
}

/** Admission and connections of the statements for one target. */
export interface TargetPool {
  /**
   * Queues a request until it can start, and sends it. It is sent again if the
   * target refuses it for lack of a slot or connection.
   */
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
   * Closes surplus idle connections, probes idle ones that received no data for
   * `probePeriod`, and opens missing ones. To be called a few times per second.
   */
  tick(): void;
  load(): PoolLoad;
  /**
   * Fails the queued requests and closes the idle connections. Running requests
   * finish, and their connections are closed afterwards.
   */
  close(): void;
}
