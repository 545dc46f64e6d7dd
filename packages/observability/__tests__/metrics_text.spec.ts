import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createMetricsRegistry, parseMetrics} from '..';

describe('the text of metrics', () => {
  // Guards against values of names with special characters that get lost.
  test('has the samples that a registry rendered', () => {
    const registry = createMetricsRegistry();
    const group = 'a"b\\c\nd{e="f",} g';
    registry.counter('kelpstep_count_total', 'A count.', {group}).add(3);
    registry.counter('kelpstep_bare_total', 'Without labels.').add();
    registry.gauge('kelpstep_level', 'A level.', () => [
      {labels: {group: '', state: 'idle'}, value: 0.5},
    ]);
    expect(parseMetrics(registry.render())).toEqual([
      {name: 'kelpstep_count_total', labels: {group}, value: 3},
      {name: 'kelpstep_bare_total', labels: {}, value: 1},
      {name: 'kelpstep_level', labels: {group: '', state: 'idle'}, value: 0.5},
    ]);
  });

  // Guards against texts of other exporters, which use more of the format.
  test('may have time stamps, spaces, final commas and special values', () => {
    const text =
      'a{b = "c" , d="e",} 1e3 1700000000\nf  -2\ng{} +Inf\r\nh -Inf\n\n';
    expect(parseMetrics(text)).toEqual([
      {name: 'a', labels: {b: 'c', d: 'e'}, value: 1000},
      {name: 'f', labels: {}, value: -2},
      {name: 'g', labels: {}, value: Infinity},
      {name: 'h', labels: {}, value: -Infinity},
    ]);
    expect(parseMetrics('i NaN')[0]?.value).toEqual(NaN);
  });

  // Guards against a command that fails, or counts wrongly, at a foreign port.
  test('loses lines that are not samples', () => {
    const lines = [
      '# HELP a b',
      '<html>',
      'a',
      'a b',
      'a{b} 1',
      'a{b="c} 1',
      'a{b="c"d="e"} 1',
      '{b="c"} 1',
      '1a 1',
      'ok 1',
    ];
    expect(parseMetrics(lines.join('\n')).map(({name}) => name)).toEqual([
      'ok',
    ]);
  });
});
