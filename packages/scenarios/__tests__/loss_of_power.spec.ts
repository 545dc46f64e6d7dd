import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementWorld} from '../src/statements/statement_world';

const DURATION = 9000;
const WARM_UP = 3000;
const DOWN_TIME = 800;
/** Callers find the proxies again, and these their primaries. */
const START_TIME = 500;
/** Until then targets hold the connections from before the loss. */
const LINGER_END = 3000;

describe('proxies that lost power all at once', () => {
  test('serve while targets hold their former connections', () => {
    for (const seed of [1, 2, 3]) {
      // Room for one connection of each proxy beside those that they hold.
      const world = createStatementWorld({
        seed,
        duration: DURATION,
        connectionLimit: 16,
      });
      const {timer, proxies} = world;
      timer.advance(WARM_UP);
      proxies.forEach(world.cutPower);
      timer.advance(DOWN_TIME);
      proxies.forEach(world.startProxy);
      timer.advance(START_TIME);
      const from = timer.now();
      timer.advance(WARM_UP + LINGER_END - from);
      const {started, served} = world.counts.servedSince(from);
      world.finish();
      const isServing = started > 50 && served / started > 0.85;
      expect(world.checker.broken()).toEqual([]);
      expect({seed, isServing}).toEqual({seed, isServing: true});
    }
  });
});
