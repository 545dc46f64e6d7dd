/** Logs answers by their request ids, and counts what the edge refused. */
import type {Logger, ProxyMetrics} from '@kelpstep/observability';
import type {ErrorName} from '@kelpstep/protocol';

import type {AnswerListener, RequestId} from './json_rpc_dispatcher';

/** Errors of requests that no method got to see. */
const REJECTIONS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'PARSE_ERROR',
  'INVALID_REQUEST',
  'METHOD_NOT_FOUND',
  'INVALID_PARAMETERS',
]);
const LONGEST_LOGGED_ID = 100;

function shownId(id: RequestId | null): string {
  return String(id ?? '').slice(0, LONGEST_LOGGED_ID);
}

/** Creates the listener of an edge's answers. */
export function createAnswerObserver(
  logger: Logger,
  metrics: ProxyMetrics,
): AnswerListener {
  return ({id, method, failure}) => {
    if (failure !== undefined && REJECTIONS.has(failure.name)) {
      metrics.requestRejected(failure.name);
    }
    if (failure?.name === 'INTERNAL_ERROR') {
      logger.error('fault', {requestId: shownId(id), method});
    } else if (logger.isDebugEnabled()) {
      logger.debug('answered', {
        requestId: shownId(id),
        method,
        error: failure?.name,
        outcome: failure?.outcome ?? 'ok',
      });
    }
  };
}
