import {expect} from 'earl';
import {describe, test} from 'node:test';

import {playLossOfPower} from './loss_of_power_play';

const DURATION = 9000;
const WARM_UP = 3000;
const DOWN_TIME = 800;
const START_TIME = 500;

describe('proxies that lost power all at once', () => {
  test('serve while targets hold their former connections', () => {
    for (const seed of [1, 2, 3]) {
      // Room for one connection of each proxy beside those that they hold.
      const {world, from} = playLossOfPower(
        {seed, duration: DURATION, connectionLimit: 16},
        {warmUp: WARM_UP, downTime: DOWN_TIME, startTime: START_TIME},
      );
      const {started, served} = world.counts.countsSince(from);
      world.finish();
      const isServing = started > 50 && served / started > 0.85;
      expect(world.checker.broken()).toEqual([]);
      expect({seed, isServing}).toEqual({seed, isServing: true});
    }
  });
});
