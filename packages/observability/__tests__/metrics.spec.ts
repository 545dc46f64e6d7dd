import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createMetricsRegistry, createProxyMetrics} from '..';

const SAMPLE = /^[a-z_]+(\{([a-z]+="([^"\\\n]|\\.)*",?)+\})? -?[0-9.e+-]+$/;

describe('metrics', () => {
  test('count reads by role and requests by kind, method and outcome', () => {
    const registry = createMetricsRegistry();
    const metrics = createProxyMetrics(registry);
    metrics.readServed('replica');
    metrics.readServed('replica');
    metrics.requestEnded('page-view', 'read', 'ok', 2);
    metrics.requestEnded('page-view', 'read', 'OVERLOADED', 1);
    const lines = registry.render().split('\n');
    const name = 'kelpstep_request_duration_seconds';
    expect(lines).toInclude('kelpstep_reads_served_total{role="replica"} 2');
    expect(lines).toInclude(
      `${name}_count{kind="page-view",method="read",outcome="ok"} 1`,
    );
    expect(lines).toInclude(
      `${name}_sum{kind="page-view",method="read",outcome="ok"} 0.002`,
    );
  });

  test('are rendered in the text format with one type line per family', () => {
    const registry = createMetricsRegistry();
    const metrics = createProxyMetrics(registry);
    metrics.failoverEnded('odd "name"\\\n', 800);
    metrics.failoverEnded('other', 900);
    registry.gauge('kelpstep_queue', 'Waiting.', () => [
      {labels: {target: 'd1'}, value: 3},
    ]);
    const lines = registry.render().trimEnd().split('\n');
    const samples = lines.filter(line => !line.startsWith('#'));
    const types = lines.filter(line => line.startsWith('# TYPE'));
    expect(samples.filter(line => !SAMPLE.test(line))).toEqual([]);
    expect(types.length).toEqual(new Set(types).size);
    expect(samples).toInclude('kelpstep_queue{target="d1"} 3');
  });

  test('give percentiles to within one per cent', () => {
    const summary = createMetricsRegistry().summary('s', 'S.');
    for (let value = 1; value <= 1000; value++) {
      summary.record(value);
    }
    expect(Math.abs(summary.percentile(50) - 500) < 5).toEqual(true);
    expect(Math.abs(summary.percentile(99) - 990) < 10).toEqual(true);
  });
});
