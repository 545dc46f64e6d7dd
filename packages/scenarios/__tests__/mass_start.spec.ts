import {expect} from 'earl';
import {describe, test} from 'node:test';

import {playLossOfPower} from './loss_of_power_play';

/** Proxies that aren't holders have let their connections go. */
const WARM_UP = 9000;
const DOWN_TIME = 1000;
const START_TIME = 300;
/** Callers go on for so long after the loss. */
const CALLING_TIME = 6000;
/** With two connections a holder: 30 to 102 operations, no transaction. */
const LEAST_SERVED = 150;
const LEAST_TRANSACTIONS = 10;

/** Seven proxies start anew before targets whose connections the dead hold. */
function playMassStart(seed: number) {
  const {world, from} = playLossOfPower(
    {
      seed,
      duration: WARM_UP + CALLING_TIME,
      proxies: 7,
      sessions: 60,
      connectionLimit: 16,
      slots: 2,
    },
    {warmUp: WARM_UP, downTime: DOWN_TIME, startTime: START_TIME},
  );
  const all = world.counts.countsSince(from);
  const transactions = world.counts.transactionCountsSince(from);
  world.finish();
  return {all, transactions, broken: world.checker.broken()};
}

describe('seven proxies that start while the dead hold most connections', () => {
  test('serve statements and transactions', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const {all, transactions, broken} = playMassStart(seed);
      const isServing = all.served >= LEAST_SERVED;
      const hasRoom = transactions.served >= LEAST_TRANSACTIONS;
      expect({seed, broken, isServing, hasRoom}).toEqual({
        seed,
        broken: [],
        isServing: true,
        hasRoom: true,
      });
    }
  });
});
