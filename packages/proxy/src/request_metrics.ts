/** Metrics of requests and of the load on targets. */
import type {
  GaugeSample,
  MetricsRegistry,
  ProxyMetrics,
} from '@kelpstep/observability';
import type {RequestEnd, RequestService, TargetLoad} from '@kelpstep/routing';

const OTHER_KIND = 'other';
const SHED_OUTCOMES = new Set(['OVERLOADED', 'TIMED_OUT']);

/** Creates the listener that records the outcomes of requests. */
export function createRequestRecorder(
  metrics: ProxyMetrics,
  isKind: (name: string) => boolean,
): (end: RequestEnd) => void {
  return end => {
    const {method, outcome, duration, role, retries} = end;
    // Callers may send any kind. Kinds that are not known share one label,
    // which bounds the number of time series.
    const kind =
      end.kind !== undefined && isKind(end.kind) ? end.kind : OTHER_KIND;
    metrics.requestEnded(kind, method, outcome, duration);
    if (method === 'read' && outcome === 'ok' && role !== undefined) {
      metrics.readServed(role);
    }
    if (SHED_OUTCOMES.has(outcome)) {
      metrics.requestShed();
    }
    if (retries > 0) {
      metrics.requestRetried(retries);
    }
  };
}

/**
 * Registers the gauges of the load on targets, of requests in flight and of
 * open transactions.
 */
export function registerLoadGauges(
  registry: MetricsRegistry,
  requests: RequestService,
): void {
  function perTarget(read: (load: TargetLoad) => number) {
    return (): GaugeSample[] =>
      requests.targetLoads().map(load => ({
        labels: {target: load.target},
        value: read(load),
      }));
  }

  registry.gauge(
    'kelpstep_target_queue',
    'Requests that wait for a target.',
    perTarget(load => load.queued),
  );
  registry.gauge(
    'kelpstep_target_connections',
    'Open connections to a target.',
    perTarget(load => load.connections),
  );
  registry.gauge(
    'kelpstep_target_in_flight',
    'Statements and transactions that hold a connection.',
    perTarget(load => load.inFlight),
  );
  registry.gauge(
    'kelpstep_target_concurrency_limit',
    'Statements that may run at a time on a target.',
    perTarget(load => load.concurrencyLimit),
  );
  registry.gauge('kelpstep_requests_in_flight', 'Requests in flight.', () => [
    {labels: {}, value: requests.inFlight()},
  ]);
  registry.gauge('kelpstep_open_transactions', 'Open transactions.', () => [
    {labels: {}, value: requests.openTransactions()},
  ]);
}
