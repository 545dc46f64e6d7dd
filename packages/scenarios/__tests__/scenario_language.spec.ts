import {expect} from 'earl';
import {describe, test} from 'node:test';

import {readScenario} from '..';

describe('the scenario language', () => {
  test('parses settings, actions and expectations', () => {
    const scenario = readScenario(`
      deployment office   # three data centres
      proxies 3
      at 1000 kill-target primary
      at 1200 lag-target replica-1 250
      expect write-gap 3000
    `).unwrap();
    expect(scenario.settings).toEqual({deployment: 'office', proxies: 3});
    expect(scenario.actions).toEqual([
      {at: 1000, name: 'kill-target', arguments: ['primary'], line: 4},
      {at: 1200, name: 'lag-target', arguments: ['replica-1', 250], line: 5},
    ]);
    expect(scenario.expectations).toEqual([
      {name: 'write-gap', value: 3000, line: 6},
    ]);
  });

  test('reports every finding with its line', () => {
    const findings = readScenario(
      'proxies many\nat soon kill-target primary\nat 1 explode\nexpect luck 1',
    );
    expect(findings.err && findings.val.map(finding => finding.line)).toEqual([
      1, 2, 3, 4,
    ]);
  });
});
