/** The metrics of a proxy, by what happened. */
import type {Milliseconds} from '@kelpstep/runtime';

import {Counter, MetricsRegistry, Summary} from './metrics_registry';

/** What parts of a proxy report. */
export interface ProxyMetrics {
  /**
   * A request was answered. `outcome` is `ok` or the error's name; kind and
   * method come from closed lists, so that the number of series is bounded.
   */
  requestEnded(
    kind: string,
    method: string,
    outcome: string,
    duration: Milliseconds,
  ): void;
  /** A read was served by a target of this role. */
  readServed(role: 'primary' | 'replica'): void;
  /** A request was refused before it reached a method, or for its form. */
  requestRejected(error: string): void;
  /** Requests were refused for want of room or time. */
  requestShed(): void;
  /** Statements were sent again. */
  requestRetried(times: number): void;
  /** Writes of a group were impossible for this long. */
  failoverEnded(group: string, gap: Milliseconds): void;
}

function createRequestMetrics(registry: MetricsRegistry) {
  const byKind = new Map<string, Map<string, Map<string, Summary>>>();

  function nested<V>(map: Map<string, V>, key: string, create: () => V): V {
    const known = map.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = create();
    map.set(key, created);
    return created;
  }

  return (kind: string, method: string, outcome: string): Summary => {
    const methods = nested(byKind, kind, () => new Map());
    const outcomes = nested(methods, method, () => new Map<string, Summary>());
    return nested(outcomes, outcome, () =>
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
