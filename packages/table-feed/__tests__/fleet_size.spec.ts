import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type FeedFleet, createFeedFleet} from './feed_fleet';

const SEEDS = [1, 2, 3];
const FLEET = {proxies: 60, dataCentres: 6};
const START_SPREAD_MS = 300;
/** Time after which all proxies know their distributors. */
const SETTLING_TIME_MS = 5000;

function startFleet(seed: number): FeedFleet {
  const fleet = createFeedFleet({seed, ...FLEET});
  fleet.startAll(START_SPREAD_MS);
  fleet.timer.advance(SETTLING_TIME_MS);
  return fleet;
}

describe('all proxies', () => {
  // Guards against quota shares that add up to less than the whole: at the
  // first start, proxies subscribe to seeds in other data centres.
  test('are counted once, although some subscribe in several data centres', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const sizes = new Set(fleet.names.map(fleet.fleetSize));
      expect({seed, sizes: [...sizes]}).toEqual({
        seed,
        sizes: [FLEET.proxies],
      });
    }
  });

  // Guards against quota shares that add up to more than the whole: those of
  // lost proxies still count, as they may be partitioned and serve.
  test('still count while they are lost', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const lost = fleet.names.slice(-20);
      lost.forEach(fleet.powerOff);
      fleet.timer.advance(SETTLING_TIME_MS);
      const sizes = fleet.names.slice(0, -20).map(fleet.fleetSize);
      expect({seed, size: Math.min(...sizes.map(size => size ?? 0))}).toEqual({
        seed,
        size: FLEET.proxies,
      });
    }
  });
});
