import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  drawFaultPair,
  simulateFaults,
} from '../src/statements/fault_simulation';
import {STATEMENT_FAULTS} from '../src/statements/random_faults';

/** Time at which all faults have ended and the simulation has recovered. */
const RECOVERY_TIME_MS = 11_500;

describe('statement sessions', () => {
  test('are served without faults', () => {
    const simulation = simulateFaults({seed: 1, faults: []});
    const {served, started} = simulation.counts;
    expect(simulation.checker.broken()).toEqual([]);
    expect(served / started > 0.99).toEqual(true);
    expect(simulation.checker.acknowledgedCount() > 100).toEqual(true);
  });

  for (const fault of STATEMENT_FAULTS) {
    test(`violate no rule under the fault: ${fault}`, () => {
      for (const seed of [1, 2, 3]) {
        const simulation = simulateFaults({seed, faults: [fault]});
        const {started, served} =
          simulation.counts.countsSince(RECOVERY_TIME_MS);
        expect(simulation.checker.broken()).toEqual([]);
        expect(served / started > 0.9).toEqual(true);
      }
    });
  }

  test('violate no rule under pairs of faults', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const broken = simulateFaults({
        seed,
        faults: drawFaultPair(seed),
      }).checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });

  test('violate no rule when an old primary receives late acknowledgements', () => {
    // An acknowledgement of a later term must not confirm commits of an old
    // primary.
    const {checker} = simulateFaults({
      seed: 30209,
      faults: ['store refuses some', 'cut primary from replicas'],
    });
    expect(checker.broken()).toEqual([]);
  });
});
