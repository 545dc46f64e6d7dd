import type {MessageInTransit} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const DURATION = 12_000;
/** Until then the proxies know each other and have let go what others hold. */
const WARM_UP = 5000;
const CUT_TIME = 4000;
const SETTLE_TIME = 1500;
const SEEDS = [1, 2, 3];
const GROUP = 'records';
const SECOND = 1000;
/** Of each message to and from a slow proxy. */
const SLOW_BY = 100;

/** More proxies than the targets take connections from: four hold some. */
const FLEET = {
  duration: DURATION,
  proxies: 15,
  sessions: 30,
  connectionLimit: 20,
} as const;

/** Connections of four holders: three each, and one more for a while. */
const MOST_CONNECTIONS = 16;

interface Counts {
  readonly started: number;
  readonly served: number;
}

interface CutPlay extends Counts {
  /** Who leads while the cut lasts. */
  readonly primary: string | undefined;
}

function shareServed({started, served}: Counts): number {
  return served / started;
}

function holdersIn(simulation: StatementSimulation): string[] {
  return simulation.proxies.filter(
    proxy => simulation.gateway(proxy)?.group(GROUP) !== undefined,
  );
}

function expectNothingBroken(
  seed: number,
  simulation: StatementSimulation,
): void {
  simulation.finish();
  expect({seed, broken: simulation.checker.broken()}).toEqual({
    seed,
    broken: [],
  });
}

/** Cuts one of four proxies off from targets; counts what starts then. */
function playCut(seed: number, targets: string[], relays: boolean): CutPlay {
  const simulation = createStatementSimulation({
    seed,
    duration: DURATION,
    relays,
  });
  const {timer, network, group} = simulation;
  timer.advance(WARM_UP);
  const place = simulation.endpointOf('proxy-1');
  targets.forEach(target => network.cut(place, target));
  const from = timer.now();
  timer.advance(CUT_TIME);
  const counts = simulation.counts.countsSince(from);
  const primary = group.primary()?.target;
  targets.forEach(target => network.heal(place, target));
  expectNothingBroken(seed, simulation);
  return {...counts, primary};
}

describe('statements through other proxies', () => {
  test('are served where there are more proxies than connections', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...FLEET, seed});
      simulation.timer.advance(WARM_UP);
      const from = simulation.timer.now();
      simulation.timer.advance(CUT_TIME);
      const connections = simulation.group
        .targets()
        .map(target => target.connections());
      const isWithin = Math.max(...connections) <= MOST_CONNECTIONS;
      const holders = holdersIn(simulation).length;
      const isServed = shareServed(simulation.counts.countsSince(from)) > 0.99;
      expect({seed, isWithin, holders, isServed}).toEqual({
        seed,
        isWithin: true,
        holders: 4,
        isServed: true,
      });
      expectNothingBroken(seed, simulation);
    }
  });

  test('go on when most of the proxies that hold connections are killed', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...FLEET, seed});
      const {timer} = simulation;
      timer.advance(WARM_UP);
      const killed = holdersIn(simulation).slice(0, 3);
      killed.forEach(simulation.killProxy);
      timer.advance(SETTLE_TIME);
      const from = timer.now();
      timer.advance(CUT_TIME - SETTLE_TIME);
      const isServed = shareServed(simulation.counts.countsSince(from)) > 0.97;
      killed.forEach(simulation.startProxy);
      expectNothingBroken(seed, simulation);
      expect({seed, isServed}).toEqual({seed, isServed: true});
    }
  });

  test('reach a primary that only this proxy is cut off from', () => {
    for (const seed of SEEDS) {
      const relayed = playCut(seed, ['target-1'], true);
      const alone = playCut(seed, ['target-1'], false);
      const isServed = shareServed(relayed) > 0.97;
      const primaries = [relayed.primary, alone.primary === 'target-1'];
      // Without others to ask the proxy takes the primary for lost.
      expect({seed, isServed, primaries}).toEqual({
        seed,
        isServed: true,
        primaries: ['target-1', false],
      });
    }
  });

  test('reach a group that the proxy is cut off from', () => {
    const all = ['target-1', 'target-2', 'target-3'];
    for (const seed of SEEDS) {
      const relayed = playCut(seed, all, true);
      const alone = playCut(seed, all, false);
      const isServed = shareServed(relayed) > 0.97;
      // Beside fewer refusals, nobody waits for a change that is given up.
      const isBetter = relayed.served > 1.1 * alone.served;
      expect({seed, relayed, alone, isServed, isBetter}).toEqual({
        seed,
        relayed,
        alone,
        isServed: true,
        isBetter: true,
      });
    }
  });

  test('leave a holder that has turned slow to others', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...FLEET, seed});
      const {timer, relays} = simulation;
      timer.advance(WARM_UP);
      const slow = simulation.hostOf(holdersIn(simulation)[0] ?? '');
      const isConcerned = ({from, to}: MessageInTransit) =>
        from === slow || to === slow;
      const endDelay = relays.delayMessages(isConcerned, SLOW_BY);
      timer.advance(SECOND);
      const from = timer.now();
      timer.advance(CUT_TIME - SECOND);
      const times = simulation.counts.statementDurationsSince(from);
      const late = times.filter(time => time > SLOW_BY).length;
      endDelay();
      expectNothingBroken(seed, simulation);
      const isRare = late / times.length < 0.1;
      expect({seed, isRare}).toEqual({seed, isRare: true});
    }
  });

  test('keep every rule when peers fall silent, freeze or are cut', () => {
    for (let seed = 1; seed <= 10; seed++) {
      const simulation = createStatementSimulation({...FLEET, seed});
      const {timer, proxies, relays} = simulation;
      timer.advance(WARM_UP);
      const hosts = proxies.map(simulation.hostOf);
      const frozen = hosts.slice(0, 2);
      hosts
        .slice(2, 5)
        .forEach(host => relays.silence(host, hosts[seed] ?? ''));
      relays.cutGroups(hosts.slice(5, 7), hosts.slice(7));
      frozen.forEach(relays.freezeHost);
      timer.advance(SETTLE_TIME);
      frozen.forEach(relays.thawHost);
      timer.advance(SETTLE_TIME);
      relays.healAll();
      expectNothingBroken(seed, simulation);
    }
  });
});
