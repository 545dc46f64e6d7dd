/** What a pool of connections to a target is made of, and what it offers. */
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

/** What a pool is made of. */
export interface TargetPoolOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly member: Member;
  readonly liveProxies: number;
  readonly policies: PoolPolicies;
  readonly times: ConnectionTimes;
  /** Requests that wait at most. */
  readonly queueCapacity: number;
}

/** How a request is to be treated. */
export interface Work {
  /** Names requests that take about the same time. */
  readonly kind: string;
  readonly worth: number;
  /** Monotonic time by which the target's answer must be there. */
  readonly deadline: Milliseconds;
}

/** What became of a request. */
export interface Attempt<R> {
  /** A failure with `sent` false: refused here, nothing was run. */
  readonly reply: Result<R, RequestFailure>;
  readonly queueTime: Milliseconds;
}

/** What became of a request whose connection stays with its sender. */
export interface LeaseAttempt<R> extends Attempt<R> {
  /** There if the reply is a result. */
  readonly lease: Lease | undefined;
}

/** Load of a target as this proxy sees it. */
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
  readonly work: Work;
  readonly method: Method<P, R>;
  readonly parameters: P;
  /** Time for the answer once the request was sent. */
  readonly timeout: Milliseconds;
}

/** Statements at one target. */
export interface TargetPool {
  /** Runs one request. */
  run<P, R>(request: TargetRequest<P, R>): Future<Attempt<R>>;
  /** The same, and keeps the connection and its place among the running. */
  lease<P, R>(request: TargetRequest<P, R>): Future<LeaseAttempt<R>>;
  /** Predicted time until a request of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Shortest round trip seen; undefined before any connection. */
  roundTrip(): Milliseconds | undefined;
  /** Keeps so many connections open, within the share. */
  keepWarm(connections: number): void;
  /** The connection limit or the number of live proxies changed. */
  updateShare(connectionLimit: number, liveProxies: number): void;
  /** Trims, probes and refills; call it a few times a second. */
  tick(): void;
  load(): PoolLoad;
  /** Refuses what waits, lets the rest end, then closes the connections. */
  close(): void;
}
