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

/**
 * One proxy does not reach the lapsed replica either and drops it. The replica
 * leaves with the only copies, and all proxies are restarted while the primary
 * is dark.
 */
function loseCommitsOfUnevenViews(seed: number): number {
  const simulation = createStatementSimulation({
    seed,
    duration: 30_000,
    promotionTime: 1000,
    arePromotionsFenced: seed % 2 === 0,
  });
  const {timer, group, network, proxies} = simulation;
  const {fraction} = createRandom(seed);
  timer.advance(WARM_UP_MS);
  // The row names the primary after a first change only.
  group.crash(PRIMARY);
  timer.advance(4000);
  group.restart(PRIMARY, false);
  timer.advance(WARM_UP_MS);
  const primary = group.primary()?.target ?? '';
  const [cutReplica = '', lapsedReplica = ''] = group
    .targets()
    .map(({target}) => target)
    .filter(target => target !== primary);
  simulation.setListed(lapsedReplica, false);
  network.partition(simulation.endpointOf('proxy-1'), lapsedReplica);
  const cutDelay = 5000 + 1000 * fraction();
  const goneDelay = cutDelay + 500 + 1000 * fraction();
  const crashDelay = goneDelay + 20 + 400 * fraction();
  timer.after(cutDelay, () => network.partition(primary, cutReplica));
  timer.after(goneDelay, () => group.leave(lapsedReplica));
  timer.after(goneDelay + 100 * fraction(), () => {
    proxies.forEach(simulation.killProxy);
    for (const proxy of proxies) {
      timer.after(200 + 600 * fraction(), () => simulation.startProxy(proxy));
    }
  });
  timer.after(crashDelay, () => group.crash(primary));
  timer.after(crashDelay + 5900, () => network.healAll());
  timer.after(crashDelay + 6000, () => group.restart(primary, false));
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

  // Guards against a copy record without a replica that its writer alone does
  // not reach.
  test('is missed after it has left with the only copies', () => {
    const losses = [1, 2, 3, 4, 5, 6].map(
      seed => [seed, loseCommitsOfUnevenViews(seed)] as const,
    );
    expect(losses.filter(([, count]) => count > 0)).toEqual([]);
  });
});
