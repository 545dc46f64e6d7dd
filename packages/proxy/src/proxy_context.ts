/** The dependencies of a proxy, and its interface to the HTTP servers. */
import type {FailoverTimings} from '@kelpstep/failover';
import type {Settings} from '@kelpstep/manifest';
import type {Logger} from '@kelpstep/observability';
import type {PlatformClient} from '@kelpstep/platform';
import type {ProxyIdentity} from '@kelpstep/protocol';
import type {HandlerTable, Transport, TransportError} from '@kelpstep/rpc';
import type {RequestPolicies} from '@kelpstep/routing';
import type {Future, Runtime} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {ResponseListener} from './json_rpc_dispatcher';

/** What a proxy needs from the process that runs it. */
export interface ProxyContext {
  /** Runs all tasks. Shutting it down has the effect of killing the process. */
  readonly runtime: Runtime;
  /** Opens connections to targets and peers, and accepts them from peers. */
  readonly transport: Transport;
  readonly platform: PlatformClient;
  readonly logger: Logger;
  /** Policies and timings that override the defaults. */
  readonly policies?: Partial<RequestPolicies>;
  readonly timings?: Partial<FailoverTimings>;
  /** Called when serving a request throws. By default the error is rethrown. */
  readonly onRequestError?: (error: unknown, method: string) => void;
}

/** A proxy without its HTTP servers. */
export interface Proxy {
  readonly settings: Settings;
  readonly identity: ProxyIdentity;
  /** Handlers of the methods for callers. */
  readonly callerHandlers: HandlerTable;
  /** Handlers of the methods for operators. */
  readonly operatorHandlers: HandlerTable;
  /** Records the responses of the callers' server in logs and metrics. */
  readonly onCallerResponse: ResponseListener;
  /** Listens for peers and starts all tasks; fails if it can't listen. */
  start(): Future<Result<undefined, TransportError>>;
  /** Why load balancers should send no requests; undefined if ready. */
  unreadyReason(): string | undefined;
  /** Version of the manifest in force; 0 without a manifest. */
  manifestVersion(): number;
  /** Metrics in the Prometheus text format. */
  renderMetrics(): string;
  /**
   * Stops gracefully: the proxy is unready at once, accepts requests for the
   * `acceptTime` of the manifest, then refuses them with `STOPPING` and lets
   * transactions end within `drainTime`. Settles once no request is in flight;
   * later requests are still answered with `STOPPING`.
   */
  stop(): Future<undefined>;
  /** Closes all connections; call it after `stop`. */
  close(): void;
}
