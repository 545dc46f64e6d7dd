import {expect} from 'earl';
import {describe, test} from 'node:test';

import {simulateFaults} from '../src/statements/fault_simulation';

describe('a proxy whose store returns from an older copy', () => {
  test('uses no epoch twice and loses no commit as the primary changes', () => {
    for (let seed = 1; seed <= 30; seed++) {
      const {checker} = simulateFaults({
        seed,
        faults: ['store restored as the primary changes'],
      });
      expect({seed, broken: checker.broken()}).toEqual({seed, broken: []});
    }
  });
});
