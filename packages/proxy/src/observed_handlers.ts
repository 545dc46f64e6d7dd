/** Measures the requests that go through a table of handlers. */
import type {ProxyMetrics} from '@kelpstep/observability';
import {CALLER_METHODS} from '@kelpstep/protocol';
import type {TimerService} from '@kelpstep/runtime';
import {HandlerTable} from '@kelpstep/rpc';

/** What the measuring needs. */
export interface ObservedHandlersOptions {
  readonly handlers: HandlerTable;
  readonly metrics: ProxyMetrics;
  readonly timer: TimerService;
  /** True for the request kinds of the manifest in force. */
  readonly isKind: (name: string) => boolean;
}

const OTHER = 'other';

/**
 * Wraps a table so that the time of each request is recorded. Names that a
 * caller made up count as `other`: the number of series stays bounded.
 */
export function observeHandlers(
  options: ObservedHandlersOptions,
): HandlerTable {
  const {handlers, metrics, timer, isKind} = options;

  function kindOf(parameters: unknown): string {
    if (typeof parameters !== 'object' || parameters === null) {
      return OTHER;
    }
    const {kind} = parameters as {kind?: unknown};
    return typeof kind === 'string' && isKind(kind) ? kind : OTHER;
  }

  const observed: HandlerTable = {
    handle(method, handler) {
      handlers.handle(method, handler);
      return observed;
    },
    dispatch(name, parameters, peer) {
      const startedAt = timer.now();
      const reply = handlers.dispatch(name, parameters, peer);
      const method = Object.hasOwn(CALLER_METHODS, name) ? name : OTHER;
      const kind = kindOf(parameters);
      reply.onSettled(result => {
        const outcome = result.ok ? 'ok' : result.val.name;
        metrics.requestEnded(kind, method, outcome, timer.now() - startedAt);
      });
      return reply;
    },
  };
  return observed;
}
