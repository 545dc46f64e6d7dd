import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  Operation,
  checkInvariants,
  createHistory,
  recordText,
  sessionList,
} from '..';

const GROUP = 'handbook-1';

function setUp() {
  const history = createHistory();
  const final = new Map<string, string[]>();

  function append(outcome: Operation['outcome'], copies: number): string {
    const record = recordText('s1', history.operations.length);
    const operation = history.invoke({
      session: 's1',
      kind: 'append',
      group: GROUP,
      statements: [
        {text: 'append ? ?', parameters: [sessionList('s1'), record]},
      ],
      invokedAt: 0,
      deadline: 100,
    });
    operation.completedAt = 10;
    operation.outcome = outcome;
    if (outcome === 'confirmed') {
      operation.confirmedAt = 10;
    }
    final.set('s1', [
      ...(final.get('s1') ?? []),
      ...Array.from({length: copies}, () => record),
    ]);
    return record;
  }

  function read(records: string[], maximumAge?: number): void {
    const operation = history.invoke({
      session: maximumAge === undefined ? 's1' : 's2',
      kind: 'list',
      group: GROUP,
      statements: [{text: 'list ?', parameters: [sessionList('s1')]}],
      invokedAt: 20,
      deadline: 100,
      ...(maximumAge === undefined ? {} : {maximumAge}),
    });
    operation.completedAt = 30;
    operation.outcome = 'confirmed';
    operation.rows = records.map(record => [record]);
  }

  function broken(): string[] {
    return checkInvariants({
      operations: history.operations,
      finalRecords: session => final.get(session) ?? [],
      answerGrace: 0,
    }).map(violation => violation.invariant);
  }

  return {append, read, broken, final};
}

describe('the invariant checker', () => {
  test('finds no violation in a valid history', () => {
    const run = setUp();
    const record = run.append('confirmed', 1);
    run.append('not_run', 0);
    run.append('unknown', 0);
    run.read([record]);
    run.read([record], 5);
    expect(run.broken()).toEqual([]);
  });

  test('finds a lost, a duplicated and an unwanted record', () => {
    const run = setUp();
    run.append('confirmed', 0);
    run.append('confirmed', 2);
    run.append('not_run', 1);
    run.append('unknown', 2);
    expect(run.broken()).toEqual([
      'confirmed-once',
      'confirmed-once',
      'not-run-absent',
      'unknown-at-most-once',
    ]);
  });

  test('finds a read that misses its own write or exceeds its staleness bound', () => {
    const run = setUp();
    run.append('confirmed', 1);
    run.read([]);
    run.read([], 5);
    run.read([], 25);
    expect(run.broken()).toEqual(['read-your-writes', 'age']);
  });

  test("finds another caller's answer", () => {
    const run = setUp();
    run.read(['s9/1']);
    expect(run.broken()).toEqual(['own-answer']);
  });
});
