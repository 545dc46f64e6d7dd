import {type Milliseconds, createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementSimulation} from '../src/statements/statement_simulation';

const SEEDS = Array.from({length: 8}, (unused, index) => index + 1);
const DURATION_MS: Milliseconds = 18_000;
const WARM_UP_MS: Milliseconds = 3000;
const PRIMARY = 'target-1';
const [CUT_REPLICA, LAPSED_REPLICA] = ['target-2', 'target-3'] as const;

/**
 * A replica that is cut off from the store, but not from the group, has the only
 * copies when the primary is lost for good.
 */
function loseCommits(seed: number): number {
  const simulation = createStatementSimulation({
    seed,
    duration: DURATION_MS,
    arePromotionsFenced: seed % 2 === 0,
  });
  const {timer, group, network} = simulation;
  const {fraction} = createRandom(seed);
  timer.advance(WARM_UP_MS);
  simulation.setListed(LAPSED_REPLICA, false);
  const cutDelay = 1000 * fraction();
  const crashDelay = 3500 + 2000 * fraction();
  timer.after(cutDelay, () => network.partition(PRIMARY, CUT_REPLICA));
  timer.after(crashDelay, () => group.crash(PRIMARY));
  timer.after(crashDelay + 3000 * fraction(), () => network.healAll());
  simulation.finish();
  return simulation.checker.broken().length;
}

describe('a replica whose registration has lapsed', () => {
  // Guards against a choice that leaves out a replica because it is listed no
  // more, although it answers and holds commits that no listed one has.
  test('is compared before another one is promoted', () => {
    const losses = SEEDS.map(seed => [seed, loseCommits(seed)] as const);
    expect(losses.filter(([, count]) => count > 0)).toEqual([]);
  });
});
