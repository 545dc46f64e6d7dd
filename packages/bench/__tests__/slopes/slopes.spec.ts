import {expect} from 'earl';
import {describe, test} from 'node:test';

import {measureAudit} from '../../src/slopes/audit_slope';
import {fitLine} from '../../src/slopes/least_squares';
import {measureMembership} from '../../src/slopes/membership_slope';
import {formatSeries, seriesAsJsonLines} from '../../src/slopes/series';
import {measureFailureDetector} from '../../src/slopes/failure_detector_slope';

describe('slopes', () => {
  test('are fitted by least squares', () => {
    const line = fitLine([
      [0, 1],
      [1, 3],
      [2, 5],
    ]);
    expect(line).toEqual({slope: 2, intercept: 1, largestResidual: 0});
  });

  test('are formatted with their points as text and as JSON lines', () => {
    const points = [1, 2].map(size => ({size, values: {bytes: 10 * size}}));
    const series = {role: 'r', variable: 'groups', points};
    expect(formatSeries(series).split('\n').length).toEqual(8);
    const lines = seriesAsJsonLines(series).map(line => JSON.parse(line));
    expect(lines.length).toEqual(3);
    expect(lines[2]?.slope).toEqual(10);
  });

  test('count messages of monitored groups in proportion to the groups', () => {
    const load = {
      rank: 0,
      used: false,
      writesPerSecond: 0,
      manifestGroupCount: 8,
    };
    const [one, two] = [1, 2].map(groups =>
      measureFailureDetector({...load, groups}),
    );
    expect((one?.values.receivedMessages ?? 0) > 0).toEqual(true);
    expect(two?.values.receivedMessages).toEqual(
      2 * (one?.values.receivedMessages ?? NaN),
    );
  });

  test('count both ends of the exchanges between proxies', () => {
    const {values} = measureMembership({
      proxies: 4,
      leadershipChangesPerSecond: 0,
    });
    expect(values.completeViews).toEqual(1);
    const {sentBytes = 0, receivedBytes = 0} = values;
    expect(sentBytes).toBeCloseTo(receivedBytes, 100);
  });

  test('count the rows of the audit trail', () => {
    expect(measureAudit(60).values.rowsWritten).toEqual(59);
  });
});
