/** Compares answers under random faults with those of the naive model. */
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  Operation,
  compareWithNaive,
  createHistory,
  readScenario,
  runScenario,
  sessionList,
  writeFaultScript,
} from '..';

const FIRST_SEED = 50_001;
const RUNS = 60;

describe('compared with one database that never fails', () => {
  test('every session receives the same answers under random faults', () => {
    let compared = 0;
    const differences: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const scenario = readScenario(writeFaultScript(seed)).unwrap();
      const {operations} = runScenario(scenario, seed);
      const result = compareWithNaive(operations);
      compared += result.compared;
      differences.push(...result.differences.map(text => `${seed}: ${text}`));
    }
    expect(differences).toEqual([]);
    expect(compared).toBeGreaterThan(RUNS);
  });

  test('a lost write and a duplicated addition are reported', () => {
    const history = createHistory();
    function record(kind: Operation['kind'], text: string, rows: string[][]) {
      const [name, argument] =
        kind === 'counter-add' ? ['counter', 1] : [sessionList('s1'), 's1/0'];
      const operation = history.invoke({
        session: 's1',
        kind,
        group: 'handbook-1',
        statements: [{text, parameters: [name, argument]}],
        invokedAt: 0,
        deadline: 1,
      });
      operation.outcome = 'confirmed';
      operation.rows = rows;
    }
    record('append', 'append ? ?', []);
    record('list', 'list ?', []);
    record('counter-add', 'add ? ?', [['2']]);
    expect(compareWithNaive(history.operations).differences.length).toEqual(2);
  });
});
