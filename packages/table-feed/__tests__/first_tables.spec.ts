import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createFirstTables} from '../src/first_tables';

describe('the time to the first copy of all tables', () => {
  test('ends with the last table and does not change with later updates', () => {
    const timer = createVirtualTimer();
    const firstTables = createFirstTables(timer, ['configuration', 'targets']);
    timer.advance(10);
    firstTables.record('configuration');
    const before = firstTables.after();
    timer.advance(20);
    firstTables.record('targets');
    timer.advance(30);
    firstTables.record('configuration');
    expect([before, firstTables.after()]).toEqual([undefined, 30]);
  });
});
