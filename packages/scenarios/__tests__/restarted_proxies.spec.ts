import {type Milliseconds, createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

/** Number of seeds; a long run is started by hand. */
const SEED_COUNT = Number(process.env.RESTARTED_PROXIES_SEEDS ?? 20);
const DURATION_MS: Milliseconds = 16_000;
const WARM_UP_MS: Milliseconds = 3000;
const PROMOTION_TIME_MS: Milliseconds = 1000;
const PRIMARY = 'target-1';
const [CUT_REPLICA, LOST_REPLICA] = ['target-2', 'target-3'] as const;

type Fraction = () => number;
type Schedule = (simulation: StatementSimulation, fraction: Fraction) => void;

/** Kills all proxies at once and starts each of them again. */
function restartProxies(
  {timer, proxies, killProxy, startProxy}: StatementSimulation,
  fraction: Fraction,
): void {
  timer.after(300 + 2000 * fraction(), () => {
    proxies.forEach(killProxy);
    for (const proxy of proxies) {
      timer.after(200 + 600 * fraction(), () => startProxy(proxy));
    }
  });
}

/**
 * The primary crashes and returns with its log, and the replica that was cut off
 * from it reaches it again meanwhile.
 */
function crashPrimary(
  {timer, group, network}: StatementSimulation,
  delay: Milliseconds,
  fraction: Fraction,
): void {
  const downTime = 800 + 2500 * fraction();
  timer.after(delay, () => group.crash(PRIMARY));
  timer.after(delay + downTime * fraction(), () => network.healAll());
  timer.after(delay + downTime, () => group.restart(PRIMARY, false));
}

const leaveWithOnlyCopy: Schedule = (simulation, fraction) => {
  const {timer, group, network} = simulation;
  simulation.setLeaving(LOST_REPLICA, true);
  group.refuseConnections(LOST_REPLICA, true);
  const cutDelay = 1000 * fraction();
  const goneDelay = cutDelay + 150 + 1200 * fraction();
  timer.after(cutDelay, () => network.partition(PRIMARY, CUT_REPLICA));
  timer.after(goneDelay, () => group.leave(LOST_REPLICA));
  crashPrimary(simulation, goneDelay + 20 + 800 * fraction(), fraction);
  restartProxies(simulation, fraction);
};

const returnWithoutOnlyCopy: Schedule = (simulation, fraction) => {
  const {timer, group, network} = simulation;
  network.partition(PRIMARY, CUT_REPLICA);
  const crashDelay = 500 + 1000 * fraction();
  const returnDelay = crashDelay + 100 + 400 * fraction();
  timer.after(crashDelay, () => group.crash(LOST_REPLICA));
  timer.after(returnDelay, () => group.restart(LOST_REPLICA, true));
  crashPrimary(simulation, crashDelay + 800 * fraction(), fraction);
  restartProxies(simulation, fraction);
};

/** The primary's registration expires as well, and is back when it returns. */
const expireWithOnlyCopy: Schedule = (simulation, fraction) => {
  const {timer, group, network} = simulation;
  network.partition(PRIMARY, CUT_REPLICA);
  const crashDelay = 500 + 1000 * fraction();
  const downTime = 3000 + 2000 * fraction();
  timer.after(crashDelay, () => {
    group.crash(LOST_REPLICA);
    group.crash(PRIMARY);
    simulation.setListed(PRIMARY, false);
  });
  timer.after(crashDelay + 500, () => {
    network.healAll();
    group.restart(LOST_REPLICA, true);
  });
  timer.after(crashDelay + downTime, () => {
    group.restart(PRIMARY, false);
    simulation.setListed(PRIMARY, true);
  });
  restartProxies(simulation, fraction);
};

/** Returns the seeds that lose commits, and how many times each. */
function findLosses(schedule: Schedule): Array<readonly [number, number]> {
  const seeds = Array.from({length: SEED_COUNT}, (unused, index) => index + 1);
  return seeds
    .map(seed => {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
        promotionTime: PROMOTION_TIME_MS,
        arePromotionsFenced: seed % 2 === 0,
      });
      simulation.timer.advance(WARM_UP_MS);
      schedule(simulation, createRandom(seed).fraction);
      simulation.finish();
      return [seed, simulation.checker.broken().length] as const;
    })
    .filter(([, count]) => count > 0);
}

describe('proxies that are all restarted while the only copies of commits go', () => {
  // Guards against a replica that is promoted because no proxy remembers a
  // member that has left with the only copies besides the primary's.
  test('lose no commit that a leaving replica acknowledged', () => {
    expect(findLosses(leaveWithOnlyCopy)).toEqual([]);
  });

  // Guards against the same with a member that has returned without its log.
  test('lose no commit that a replica without its log had acknowledged', () => {
    expect(findLosses(returnWithoutOnlyCopy)).toEqual([]);
  });

  // Guards against a choice among the listed targets while the primary, which
  // alone holds the commits, has no registration.
  test('lose no commit of a primary that is not listed for some time', () => {
    expect(findLosses(expireWithOnlyCopy)).toEqual([]);
  });
});
