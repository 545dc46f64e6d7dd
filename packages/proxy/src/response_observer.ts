/** Logs responses by request id and counts requests rejected by the server. */
import type {Logger, ProxyMetrics} from '@kelpstep/observability';
import type {ErrorName} from '@kelpstep/protocol';

import type {ResponseListener, RequestId} from './json_rpc_dispatcher';

/** Errors of requests that are rejected before a method handles them. */
const REJECTION_ERRORS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'PARSE_ERROR',
  'INVALID_REQUEST',
  'METHOD_NOT_FOUND',
  'INVALID_PARAMETERS',
]);
const MAXIMUM_LOGGED_ID_LENGTH = 100;

function formatId(id: RequestId | null): string {
  return String(id ?? '').slice(0, MAXIMUM_LOGGED_ID_LENGTH);
}

/**
 * Creates a listener that logs internal errors, and at level `debug` all
 * responses.
 */
export function createResponseObserver(
  logger: Logger,
  metrics: ProxyMetrics,
): ResponseListener {
  return ({id, method, failure}) => {
    if (failure !== undefined && REJECTION_ERRORS.has(failure.name)) {
      metrics.requestRejected(failure.name);
    }
    if (failure?.name === 'INTERNAL_ERROR') {
      logger.error('fault', {requestId: formatId(id), method});
    } else if (logger.isDebugEnabled()) {
      logger.debug('answered', {
        requestId: formatId(id),
        method,
        error: failure?.name,
        outcome: failure?.outcome ?? 'ok',
      });
    }
  };
}
