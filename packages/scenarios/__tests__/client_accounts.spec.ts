import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {startFault} from '../src/statements/random_faults';
import {createAccounts} from '../src/statements/statement_accounts';
import {
  type StatementSimulation,
  type StatementSimulationOptions,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const DURATION = 14_000;
const WARM_UP = 4000;
const SEEDS = [1, 2, 3, 4, 5, 6];

/** More accounts than a proxy has connections to a target. */
const WORLD = {
  duration: DURATION,
  accounts: createAccounts(12, undefined),
  openingTime: 12,
} as const;

function createWorld(
  seed: number,
  options: Partial<StatementSimulationOptions> = {},
): StatementSimulation {
  return createStatementSimulation({...WORLD, ...options, seed});
}

function shareServed(simulation: StatementSimulation, from: number): number {
  const {started, served} = simulation.counts.countsSince(from);
  return served / started;
}

describe('sessions of client accounts', () => {
  test('are served over connections that were opened for their account', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      simulation.finish();
      const isServed = shareServed(simulation, WARM_UP) > 0.99;
      const broken = simulation.checker.broken();
      expect({seed, broken, isServed}).toEqual({
        seed,
        broken: [],
        isServed: true,
      });
    }
  });

  test('are served where few proxies hold all connections', () => {
    for (const seed of SEEDS) {
      const fleet = {proxies: 15, sessions: 30, connectionLimit: 20};
      const simulation = createWorld(seed, fleet);
      simulation.finish();
      const isServed = shareServed(simulation, WARM_UP) > 0.98;
      const broken = simulation.checker.broken();
      expect({seed, broken, isServed}).toEqual({
        seed,
        broken: [],
        isServed: true,
      });
    }
  });

  test('keep their accounts apart while faults meet', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      const random = createRandom(seed);
      simulation.timer.after(WARM_UP, () => {
        startFault(simulation, 'kill proxy', random);
        startFault(simulation, 'crash primary', random);
        startFault(simulation, 'answers lost', random);
      });
      simulation.finish();
      const broken = simulation.checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });
});

describe('keys that are taken away', () => {
  const [lost, ...kept] = WORLD.accounts;
  const without = [{...lost, keyDigests: []}, ...kept] as typeof WORLD.accounts;

  function countRefused(simulation: StatementSimulation): number {
    return simulation.counts.errors.get('notAuthorized') ?? 0;
  }

  test('serve no statement of an open session, and the others go on', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      simulation.timer.advance(WARM_UP);
      simulation.configure({accounts: without});
      simulation.finish();
      const broken = simulation.checker.broken();
      const isRefused = countRefused(simulation) > 0;
      expect({seed, broken, isRefused}).toEqual({
        seed,
        broken: [],
        isRefused: true,
      });
    }
  });

  /** Cuts two proxies off from the store and from the others; gives the runs. */
  function playCutOff(seed: number, revocation: number | undefined) {
    const simulation = createWorld(
      seed,
      revocation === undefined ? {} : {revocation},
    );
    const {timer, relays, proxies} = simulation;
    timer.advance(WARM_UP);
    const hosts = proxies.map(simulation.hostOf);
    const [first = '', second = ''] = hosts;
    hosts.slice(2).forEach(host => {
      relays.cut(first, host);
      relays.cut(second, host);
    });
    relays.cut(first, second);
    simulation.store.faults.refused = new Set(proxies.slice(0, 2));
    simulation.configure({accounts: without});
    timer.advance(6000);
    const {broken} = simulation.checker;
    return {
      isServedByLostKey: broken().some(({rule}) => rule === 'key taken away'),
      refused: simulation.counts.errors.get('busy') ?? 0,
    };
  }

  test('serve nothing through a cut-off proxy where that is strict', () => {
    for (const seed of SEEDS) {
      const strict = playCutOff(seed, 2500);
      expect({seed, ...strict, isRefused: strict.refused > 0}).toEqual({
        seed,
        ...strict,
        isServedByLostKey: false,
        isRefused: true,
      });
    }
  });

  test('are served by a cut-off proxy where it goes on with what it knows', () => {
    const plays = SEEDS.map(seed => playCutOff(seed, undefined));
    expect(plays.some(play => play.isServedByLostKey)).toEqual(true);
  });

  test('serve nothing through a proxy that the store refuses', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      simulation.timer.advance(WARM_UP);
      simulation.store.faults.refused = new Set(simulation.proxies.slice(0, 2));
      simulation.timer.advance(500);
      simulation.configure({accounts: without});
      simulation.finish();
      const broken = simulation.checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });
});
