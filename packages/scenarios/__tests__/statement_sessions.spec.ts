import {expect} from 'earl';
import {describe, test} from 'node:test';

import {drawPair, playFaults} from '../src/statements/fault_simulation';
import {STATEMENT_FAULTS} from '../src/statements/random_faults';

/** Operations that start after this time find the world whole again. */
const RECOVERED_AT = 11_500;

describe('statement sessions', () => {
  test('are served on a calm day', () => {
    const simulation = playFaults({seed: 1, faults: []});
    const {served, started} = simulation.counts;
    expect(simulation.checker.broken()).toEqual([]);
    expect(served / started > 0.99).toEqual(true);
    expect(simulation.checker.acknowledged() > 100).toEqual(true);
  });

  for (const fault of STATEMENT_FAULTS) {
    test(`keep every rule with: ${fault}`, () => {
      for (const seed of [1, 2, 3]) {
        const simulation = playFaults({seed, faults: [fault]});
        const {started, served} = simulation.counts.countsSince(RECOVERED_AT);
        expect(simulation.checker.broken()).toEqual([]);
        expect(served / started > 0.9).toEqual(true);
      }
    });
  }

  test('keep every rule with faults in pairs', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const broken = playFaults({
        seed,
        faults: drawPair(seed),
      }).checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });

  test('keep every rule when an old primary hears its replicas late', () => {
    // The stand-in once acknowledged commits by what came from a later term.
    const seed = 30209;
    const {checker} = playFaults({seed, faults: drawPair(seed)});
    expect(checker.broken()).toEqual([]);
  });
});
