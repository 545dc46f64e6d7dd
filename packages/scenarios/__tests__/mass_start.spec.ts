import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementWorld} from '../src/statements/statement_world';

/** Proxies that aren't holders have let their connections go. */
const WARM_UP = 9000;
const DOWN_TIME = 1000;
/** Callers find the proxies again, and these their primaries. */
const START_TIME = 300;
/** Until then targets hold the connections from before the loss. */
const LINGER_END = 3000;
/** With two connections a holder: 30 to 102 operations, no transaction. */
const LEAST_SERVED = 150;
const LEAST_TRANSACTIONS = 10;

/** Seven proxies start anew before targets whose connections the dead hold. */
function playMassStart(seed: number) {
  const world = createStatementWorld({
    seed,
    duration: WARM_UP + 2 * LINGER_END,
    proxies: 7,
    sessions: 60,
    connectionLimit: 16,
    slots: 2,
  });
  const {timer, proxies} = world;
  timer.advance(WARM_UP);
  proxies.forEach(world.cutPower);
  timer.advance(DOWN_TIME);
  proxies.forEach(world.startProxy);
  timer.advance(START_TIME);
  const from = timer.now();
  timer.advance(WARM_UP + LINGER_END - from);
  const all = world.counts.servedSince(from);
  const transactions = world.counts.transactionsSince(from);
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
