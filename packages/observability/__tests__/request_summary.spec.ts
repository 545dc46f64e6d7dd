import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  findRequestLines,
  groupRequests,
  summarizeRequests,
} from '../src/request_summary';

function ended(time: string, proxy: string, milliseconds: number): string {
  return JSON.stringify({
    time,
    proxy,
    event: 'request ended',
    outcome: 'busy',
    reason: 'overloaded',
    kind: 'primary begin',
    target: 't',
    milliseconds,
  });
}

describe('a summary of ended requests', () => {
  test('counts requests of a second with the same outcome', () => {
    const lines = [
      `  35.1 front-1 ${ended('2026-12-03T04:05:06.100Z', 'a', 100)}`,
      ended('2026-12-03T04:05:06.900Z', 'b', 300),
      ended('2026-12-03T04:05:06.950Z', 'b', 200),
      ended('2026-12-03T04:05:07.000Z', 'b', 10),
    ];
    const row = {
      second: '2026-12-03T04:05:06',
      outcome: 'busy',
      reason: 'overloaded',
      kind: 'primary begin',
      count: 3,
      meanMilliseconds: 200,
      proxy: 'b',
      target: 't',
    };
    expect(summarizeRequests(lines)).toEqual([
      row,
      {...row, second: '2026-12-03T04:05:07', count: 1, meanMilliseconds: 10},
    ]);
  });

  test('ignores lines that are not about a request', () => {
    const lines = ['no line of a log', '{"event":"started"}', '{broken'];
    expect(summarizeRequests(lines)).toEqual([]);
  });
});

function endedOf(second: number, fields: Record<string, unknown>): string {
  const time = `2026-12-03T04:05:0${second}.000Z`;
  return JSON.stringify({time, event: 'request ended', ...fields});
}

describe('requests grouped by fields', () => {
  // Guards against a log that shows refusals, but not whose and why.
  test('are counted by outcome and fields over all seconds', () => {
    const refused = {outcome: 'busy', account: 'hot', reason: 'over quota'};
    const lines = [
      endedOf(4, {outcome: 'ok', account: 'hot', milliseconds: 9}),
      endedOf(3, {...refused, milliseconds: 1}),
      endedOf(1, {...refused, milliseconds: 4, target: 't'}),
      endedOf(2, {...refused, account: 'other'}),
      'no line of a log',
    ];
    const rows = groupRequests(lines, ['account', 'reason']);
    expect(rows.map(({count, outcome}) => [count, outcome])).toEqual([
      [2, 'busy'],
      [1, 'ok'],
      [1, 'busy'],
    ]);
    expect(rows[0]).toEqual({
      outcome: 'busy',
      fields: {account: 'hot', reason: 'over quota'},
      count: 2,
      meanMilliseconds: 3,
      longestMilliseconds: 4,
      first: '2026-12-03T04:05:01.000Z',
      last: '2026-12-03T04:05:03.000Z',
    });
  });
});

describe('the lines of one request', () => {
  // Guards against an order by file in logs that were joined.
  test('are found at all proxies and put in order of time', () => {
    const later = endedOf(5, {proxy: 'a', requestId: 'r1', peer: 'b'});
    const earlier = endedOf(2, {proxy: 'b', requestId: 'r1', extra: [1]});
    const other = endedOf(3, {requestId: 'r11'});
    const lines = [later, other, '{broken', `  prefix ${earlier}`];
    expect(findRequestLines(lines, 'r1')).toEqual([earlier, later]);
  });
});
