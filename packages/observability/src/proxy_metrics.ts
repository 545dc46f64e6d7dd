/** The metrics of a proxy, recorded by event. */
import type {Milliseconds} from '@kelpstep/runtime';

import {Counter, MetricsRegistry, Summary} from './metrics_registry';

/** Records the events of a proxy in its metrics. */
export interface ProxyMetrics {
  /**
   * Records an answered request. `outcome` is `ok` or the name of the error.
   * `kind` and `method` come from fixed lists, which bounds the number of
   * series.
   */
  requestEnded(
    kind: string,
    method: string,
    outcome: string,
    duration: Milliseconds,
  ): void;
  /** Records a read served by a target of this role. */
  readServed(role: 'primary' | 'replica'): void;
  /** Records a request refused as malformed or before it reached a method. */
  requestRejected(error: string): void;
  /** Records a request refused for lack of capacity or time. */
  requestShed(): void;
  /** Records statements that were sent again. */
  requestRetried(times: number): void;
  /** Records a change of primary and the time without writes before it. */
  failoverEnded(group: string, gap: Milliseconds): void;
}

function createRequestMetrics(registry: MetricsRegistry) {
  const byKind = new Map<string, Map<string, Map<string, Summary>>>();

  function getOrCreate<V>(
    map: Map<string, V>,
    key: string,
    create: () => V,
  ): V {
    const existing = map.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const created = create();
    map.set(key, created);
    return created;
  }

  return (kind: string, method: string, outcome: string): Summary => {
    const methods = getOrCreate(byKind, kind, () => new Map());
    const outcomes = getOrCreate(
      methods,
      method,
      () => new Map<string, Summary>(),
    );
    return getOrCreate(outcomes, outcome, () =>
      registry.summary(
        'kelpstep_request_duration_seconds',
        'Time from request to answer.',
        {kind, method, outcome},
      ),
    );
  };
}

/** Registers a proxy's metrics. */
export function createProxyMetrics(registry: MetricsRegistry): ProxyMetrics {
  const requestSummary = createRequestMetrics(registry);

  function readCounter(role: 'primary' | 'replica'): Counter {
    return registry.counter(
      'kelpstep_reads_served_total',
      'Reads answered, by role of the target.',
      {role},
    );
  }

  function rejectedCounter(error: string): Counter {
    return registry.counter(
      'kelpstep_requests_rejected_total',
      'Requests refused for their form, by error.',
      {error},
    );
  }

  const readsServed = {
    primary: readCounter('primary'),
    replica: readCounter('replica'),
  };
  const shed = registry.counter(
    'kelpstep_requests_shed_total',
    'Requests refused for want of room.',
  );
  const retries = registry.counter(
    'kelpstep_retries_total',
    'Statements sent again.',
  );

  return {
    requestEnded: (kind, method, outcome, duration) =>
      requestSummary(kind, method, outcome).record(duration),
    readServed: role => readsServed[role].add(),
    requestRejected: error => rejectedCounter(error).add(),
    requestShed: () => shed.add(),
    requestRetried: times => retries.add(times),
    failoverEnded(group, gap) {
      registry
        .counter('kelpstep_failovers_total', 'Changes of primary seen.', {
          group,
        })
        .add();
      registry
        .summary(
          'kelpstep_failover_gap_seconds',
          'Time without writes before a new primary.',
          {group},
        )
        .record(gap);
    },
  };
}
