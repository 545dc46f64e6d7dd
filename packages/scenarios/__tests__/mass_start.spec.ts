import {expect} from 'earl';
import {describe, test} from 'node:test';

import {simulatePowerLoss} from './power_loss_simulation';

/** Proxies other than connection owners have closed their connections. */
const WARM_UP_MS = 9000;
const DOWNTIME_MS = 1000;
const START_TIME_MS = 300;
/** Time for which callers continue after the loss of power. */
const LOAD_TIME_AFTER_LOSS_MS = 6000;
/**
 * Connection owners that open only two connections each serve 30 to 102
 * operations and no transaction.
 */
const MINIMUM_SERVED = 150;
const MINIMUM_TRANSACTIONS = 10;

/** Restarts seven proxies while targets still keep their former connections. */
function simulateMassStart(seed: number) {
  const {simulation, from} = simulatePowerLoss(
    {
      seed,
      duration: WARM_UP_MS + LOAD_TIME_AFTER_LOSS_MS,
      proxies: 7,
      sessions: 60,
      connectionLimit: 16,
      slots: 2,
    },
    {warmUp: WARM_UP_MS, downTime: DOWNTIME_MS, startTime: START_TIME_MS},
  );
  const all = simulation.counts.countsSince(from);
  const transactions = simulation.counts.transactionCountsSince(from);
  simulation.finish();
  return {all, transactions, broken: simulation.checker.broken()};
}

describe('proxies that restart while targets keep most connections', () => {
  test('serve statements and transactions', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const {all, transactions, broken} = simulateMassStart(seed);
      const isServing = all.served >= MINIMUM_SERVED;
      const areTransactionsServed = transactions.served >= MINIMUM_TRANSACTIONS;
      expect({seed, broken, isServing, hasRoom: areTransactionsServed}).toEqual(
        {
          seed,
          broken: [],
          isServing: true,
          hasRoom: true,
        },
      );
    }
  });
});
