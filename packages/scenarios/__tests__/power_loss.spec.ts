import {expect} from 'earl';
import {describe, test} from 'node:test';

import {simulatePowerLoss} from './power_loss_simulation';

const DURATION_MS = 9000;
const WARM_UP_MS = 3000;
const DOWNTIME_MS = 800;
const START_TIME_MS = 500;

describe('proxies that lose power simultaneously', () => {
  test('serve again while targets keep their former connections', () => {
    for (const seed of [1, 2, 3]) {
      // Leaves room for one new connection per proxy beside the former ones.
      const {simulation, from} = simulatePowerLoss(
        {seed, duration: DURATION_MS, connectionLimit: 16},
        {warmUp: WARM_UP_MS, downTime: DOWNTIME_MS, startTime: START_TIME_MS},
      );
      const {started, served} = simulation.counts.countsSince(from);
      simulation.finish();
      const isServing = started > 50 && served / started > 0.85;
      expect(simulation.checker.broken()).toEqual([]);
      expect({seed, isServing}).toEqual({seed, isServing: true});
    }
  });
});
