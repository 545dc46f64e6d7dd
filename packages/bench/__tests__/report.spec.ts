import {expect} from 'earl';
import {describe, test} from 'node:test';

import {formatJsonLines, formatTable} from '..';

describe('reports', () => {
  const rows = [
    {load: 'read', perSecond: 2000, median: 0.123},
    {load: 'write', perSecond: 12, median: 4},
  ];

  test('a table has column names and right-aligned numbers', () => {
    expect(formatTable(rows).split('\n')).toEqual([
      'load   perSecond  median',
      'read        2000    0.12',
      'write         12       4',
    ]);
  });

  test('each row is a line of JSON', () => {
    const lines = formatJsonLines(rows).split('\n');
    expect(lines.map(line => JSON.parse(line))).toEqual(rows);
  });
});
