/** What a proxy is made of, and what it offers to the edges. */
import type {FailoverTimings} from '@kelpstep/failover';
import type {Settings} from '@kelpstep/manifest';
import type {Logger} from '@kelpstep/observability';
import type {PlatformClient} from '@kelpstep/platform';
import type {ProxyIdentity} from '@kelpstep/protocol';
import type {HandlerTable, Transport, TransportError} from '@kelpstep/rpc';
import type {RequestPolicies} from '@kelpstep/routing';
import type {Future, Runtime} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {AnswerListener} from './json_rpc_dispatcher';

/** What a proxy needs of its surroundings. */
export interface ProxyContext {
  /** Runs all its tasks; shutting it down is like killing the process. */
  readonly runtime: Runtime;
  /** Connections to targets and peers. */
  readonly transport: Transport;
  readonly platform: PlatformClient;
  readonly logger: Logger;
  /** Policies and times that differ from the defaults. */
  readonly policies?: Partial<RequestPolicies>;
  readonly timings?: Partial<FailoverTimings>;
  /** Called when serving a request throws; by default that is thrown on. */
  readonly onRequestFault?: (error: unknown, method: string) => void;
}

/** A proxy without its HTTP edges. */
export interface Proxy {
  readonly settings: Settings;
  readonly identity: ProxyIdentity;
  /** Callers' methods. */
  readonly callerHandlers: HandlerTable;
  /** Operators' methods. */
  readonly operatorHandlers: HandlerTable;
  /** Gets the answers of the callers' edge, for logs and metrics. */
  readonly onCallerAnswer: AnswerListener;
  /** Listens for peers and starts all tasks. */
  start(): Future<Result<undefined, TransportError>>;
  /** Why balancers should send no callers, or undefined. */
  unreadyReason(): string | undefined;
  /** Version of the manifest in force; 0 without one. */
  manifestVersion(): number;
  /** Metrics in the Prometheus text format. */
  renderMetrics(): string;
  /**
   * Graceful stop: unready at once, goes on accepting for the manifest's
   * `acceptTime`, then lets transactions end within `drainTime`. Settles once
   * nothing is in flight; requests are still answered, with `STOPPING`.
   */
  stop(): Future<undefined>;
  /** Closes all connections; for after `stop`. */
  close(): void;
}
