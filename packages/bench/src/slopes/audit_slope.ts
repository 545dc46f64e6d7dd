/** Measures what the audit trail writes at different rates of changes. */
import {createAuditTrail} from '@kelpstep/observability';
import type {PlatformClient} from '@kelpstep/platform';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  createInProcessPlatformClient,
  createPlatform,
} from '@kelpstep/stand-ins';

import {processorTime} from './meter';
import type {Point, Series} from './series';

const MEASUREMENT_TIME_MS = 60_000;

/** Records changes at a constant rate in the audit trail of one proxy. */
export function measureAudit(changesPerMinute: number): Point {
  const timer = createVirtualTimer();
  const platform = createPlatform(timer);
  const client = createInProcessPlatformClient({platform, timer});
  let rowBytes = 0;
  const countingPlatform: PlatformClient = {
    ...client,
    writeRow(table, key, expectedVersion, value) {
      rowBytes += Buffer.byteLength(key + JSON.stringify(value));
      return client.writeRow(table, key, expectedVersion, value);
    },
  };
  const audit = createAuditTrail({
    platform: countingPlatform,
    runtime: createRuntime({timer, random: createRandom(1)}),
    proxy: 'proxy-1234',
    incarnation: '0123456789abcdef',
  });
  const processorTimeBefore = processorTime();
  timer.every(60_000 / changesPerMinute, () =>
    audit.record({
      who: 'failover',
      what: 'primary of logbook-1234',
      from: 'logbook-1234-lima',
      to: 'logbook-1234-arequipa',
      outcome: 'primary_lost',
    }),
  );
  timer.advance(MEASUREMENT_TIME_MS);
  return {
    size: changesPerMinute,
    values: {
      rowsWritten: platform.calls().writeRow,
      rowBytes,
      processorMilliseconds: processorTime() - processorTimeBefore,
      dropped: audit.dropped(),
    },
  };
}

const CHANGE_RATES_PER_MINUTE = [1, 6, 60, 600];

/** Measures the audit trail series: totals of one minute. */
export function measureAuditSeries(): Series[] {
  return [
    {
      role: 'audit, totals of a minute',
      variable: 'changes/min',
      points: CHANGE_RATES_PER_MINUTE.map(measureAudit),
    },
  ];
}
