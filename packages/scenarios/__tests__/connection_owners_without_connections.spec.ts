import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createAccounts} from '../src/statements/statement_accounts';
import {playLossOfPower} from './loss_of_power_play';

const WARM_UP = 9000;
const DOWN_TIME = 1000;
const START_TIME = 300;
/** Targets hold the dead proxies' connections for the rest of this time. */
const CALLING_TIME = 6000;
const SEEDS = [1, 2, 3, 4, 5];
/** Callers and targets could do several times as many. */
const LEAST_SERVED = 25;

/**
 * Some holders find targets full and get no connection, others have some: statements
 * go to those. Callers have accounts, so the connection for questions can't be lent.
 */
function playFullTargets(seed: number) {
  const {world, from} = playLossOfPower(
    {
      seed,
      duration: WARM_UP + CALLING_TIME,
      proxies: 15,
      sessions: 45,
      connectionLimit: 20,
      accounts: createAccounts(12, undefined),
      openingTime: 12,
    },
    {warmUp: WARM_UP, downTime: DOWN_TIME, startTime: START_TIME},
  );
  const counts = world.counts.countsSince(from);
  world.finish();
  return {counts, broken: world.checker.broken()};
}

describe('holders that targets take no connection from', () => {
  test('leave their statements to others that have some', () => {
    for (const seed of SEEDS) {
      const {counts, broken} = playFullTargets(seed);
      const isServing = counts.served >= LEAST_SERVED;
      expect({seed, broken, isServing}).toEqual({
        seed,
        broken: [],
        isServing: true,
      });
    }
  });
});
