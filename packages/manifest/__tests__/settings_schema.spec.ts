import {expect} from 'earl';
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, test} from 'node:test';

import {formatFinding, inspectManifest, readSettings} from '..';
import {EXAMPLES} from './examples';

const SETTINGS = readFileSync(
  join(EXAMPLES, 'utility/proxy-lima-1.yaml'),
  'utf8',
);

describe('readSettings', () => {
  test('fills in default limits and intervals', () => {
    const settings = readSettings(SETTINGS, 'proxy.yaml').unwrap();
    expect(settings.limits.maximumBodyBytes).toEqual(1024 * 1024);
    expect(settings.intervals.manifestPoll).toEqual(500);
  });

  test('reports unknown keys and invalid values at their locations', () => {
    const text =
      SETTINGS.replace('proxy: lima-1', 'proxy: Lima 1') +
      'limits: {queueLength: 0, queue: 7}\n';
    const lines = readSettings(text, 'proxy.yaml');
    expect(lines.err && lines.val.map(formatFinding).length).toEqual(3);
    expect(lines.err && lines.val.map(finding => finding.line)).toEqual([
      2, 13, 13,
    ]);
  });

  test('never shows the operator token', () => {
    const text = SETTINGS.replace(/operatorToken: .*/, 'operatorToken: hush');
    const findings = readSettings(text, 'proxy.yaml');
    const shown = findings.err ? findings.val.map(formatFinding) : [];
    expect(shown.length).toEqual(1);
    expect(shown.join().includes('hush')).toEqual(false);
  });
});

function findingsOf(file: string, text: string): string[] {
  if (!file.startsWith('proxy-')) {
    return inspectManifest(text, file).findings.map(formatFinding);
  }
  const settings = readSettings(text, file);
  return settings.err ? settings.val.map(formatFinding) : [];
}

describe('the example files', () => {
  for (const deployment of readdirSync(EXAMPLES)) {
    const directory = join(EXAMPLES, deployment);
    for (const file of readdirSync(directory)) {
      test(`${deployment}/${file} has no findings`, () => {
        const text = readFileSync(join(directory, file), 'utf8');
        expect(findingsOf(file, text)).toEqual([]);
      });
    }
  }
});
