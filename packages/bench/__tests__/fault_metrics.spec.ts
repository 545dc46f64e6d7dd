import {expect} from 'earl';
import {describe, test} from 'node:test';

import {LoadRequest, REQUEST_MIX, summarize, computeFaultMetrics} from '..';

const SPAN = 1000;

function request(
  name: string,
  arrivedAt: number,
  end: LoadRequest['end'] = 'served',
): LoadRequest {
  const kind = REQUEST_MIX.find(candidate => candidate.name === name);
  if (kind === undefined) {
    throw new Error(`unknown request kind ${name}`);
  }
  const role = kind.method === 'read' ? 'replica' : undefined;
  return {kind, arrivedAt, endedAt: arrivedAt, end, role, attempts: 1};
}

describe('metrics of a load with a fault', () => {
  const before = [0, 500].flatMap(time => [
    request('view', time),
    request('acknowledgement', time),
  ]);

  function computeMetrics(...after: LoadRequest[]) {
    const requests = [...before, ...after];
    return computeFaultMetrics({requests, faultAt: SPAN, span: SPAN});
  }

  test('sum the worth of requests served in time before and after it', () => {
    const {worthBefore, worthAfter, worthKept, servedShare} = computeMetrics(
      request('view', 1100),
      request('acknowledgement', 1200, 'late'),
      request('acknowledgement', 1300),
      request('view', 2100),
    );
    expect([worthBefore, worthAfter]).toEqual([42, 21]);
    expect(worthKept).toEqual(50);
    expect(Math.round(servedShare)).toEqual(51);
  });

  test('report the longest time without a served write', () => {
    const {writeGapMilliseconds} = computeMetrics(
      request('acknowledgement', 1100),
      request('acknowledgement', 1300, 'refused'),
      request('entry', 1900),
    );
    expect(writeGapMilliseconds).toEqual(800);
  });

  test('report the time until service stays normal', () => {
    const refused = request('acknowledgement', 1100, 'refused');
    const later = request('view', 1600);
    expect(computeMetrics(refused, later).returnMilliseconds).toEqual(500);
    expect(computeMetrics(later).returnMilliseconds).toEqual(0);
  });

  test('are summarized as minimum, median and maximum over seeds', () => {
    const run = computeMetrics(request('view', 1100));
    const rows = summarize({policy: 'default'}, [
      {...run, lost: 4},
      {...run, lost: 1},
      {...run, lost: 2},
    ]);
    expect(rows.map(({of, lost}) => [of, lost])).toEqual([
      ['minimum', 1],
      ['median', 2],
      ['maximum', 4],
    ]);
  });
});
