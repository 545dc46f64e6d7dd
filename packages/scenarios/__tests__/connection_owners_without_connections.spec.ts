import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createAccounts} from '../src/statements/statement_accounts';
import {simulatePowerLoss} from './power_loss_simulation';

const WARM_UP_MS = 9000;
const DOWNTIME_MS = 1000;
const START_TIME_MS = 300;
/** Time for which callers continue after the loss of power. */
const LOAD_TIME_AFTER_LOSS_MS = 6000;
const SEEDS = [1, 2, 3, 4, 5];
/** A fraction of what callers request and targets could serve. */
const MINIMUM_SERVED = 25;

/**
 * Some connection owners find targets full and get no connection, so statements
 * must go to the others. Callers use accounts, so the connection for status
 * probes cannot serve their statements.
 */
function simulateFullTargets(seed: number) {
  const {simulation, from} = simulatePowerLoss(
    {
      seed,
      duration: WARM_UP_MS + LOAD_TIME_AFTER_LOSS_MS,
      proxies: 15,
      sessions: 45,
      connectionLimit: 20,
      accounts: createAccounts(12, undefined),
      openingTime: 12,
    },
    {warmUp: WARM_UP_MS, downTime: DOWNTIME_MS, startTime: START_TIME_MS},
  );
  const counts = simulation.counts.countsSince(from);
  simulation.finish();
  return {counts, broken: simulation.checker.broken()};
}

describe('connection owners whose connections all targets refuse', () => {
  test('leave their statements to owners that have connections', () => {
    for (const seed of SEEDS) {
      const {counts, broken} = simulateFullTargets(seed);
      const isServing = counts.served >= MINIMUM_SERVED;
      expect({seed, broken, isServing}).toEqual({
        seed,
        broken: [],
        isServing: true,
      });
    }
  });
});
