import {expect} from 'earl';
import {describe, test} from 'node:test';

import {summarizeRequests} from '../src/request_summary';

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
