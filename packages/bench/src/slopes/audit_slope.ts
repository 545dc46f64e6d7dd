/** What the audit trail writes, by the rate of changes. */
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

const MEASURED_TIME = 60_000;

/** Records changes at a steady rate through one proxy. */
export function measureAudit(changesPerMinute: number): Point {
  const timer = createVirtualTimer();
  const platform = createPlatform(timer);
  const client = createInProcessPlatformClient({platform, timer});
  let rowBytes = 0;
  const counting: PlatformClient = {
    ...client,
    writeRow(table, key, expectedVersion, value) {
      rowBytes += Buffer.byteLength(key + JSON.stringify(value));
      return client.writeRow(table, key, expectedVersion, value);
    },
  };
  const audit = createAuditTrail({
    platform: counting,
    runtime: createRuntime({timer, random: createRandom(1)}),
    proxy: 'proxy-1234',
    incarnation: '0123456789abcdef',
  });
  const before = processorTime();
  timer.every(60_000 / changesPerMinute, () =>
    audit.record({
      who: 'failover',
      what: 'primary of logbook-1234',
      from: 'logbook-1234-lima',
      to: 'logbook-1234-arequipa',
      outcome: 'primary_lost',
    }),
  );
  timer.advance(MEASURED_TIME);
  return {
    size: changesPerMinute,
    values: {
      rowsWritten: platform.calls().writeRow,
      rowBytes,
      processorMilliseconds: processorTime() - before,
      dropped: audit.dropped(),
    },
  };
}

const RATES = [1, 6, 60, 600];

/** The series of the audit trail: totals of a minute. */
export function measureAuditTrail(): Series[] {
  return [
    {
      role: 'audit, totals of a minute',
      variable: 'changes/min',
      points: RATES.map(measureAudit),
    },
  ];
}
