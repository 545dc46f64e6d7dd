import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {startFault} from '../src/statements/random_faults';
import {createAccounts} from '../src/statements/statement_accounts';
import {
  type StatementWorld,
  type StatementWorldOptions,
  createStatementWorld,
} from '../src/statements/statement_world';

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
  options: Partial<StatementWorldOptions> = {},
): StatementWorld {
  return createStatementWorld({...WORLD, ...options, seed});
}

function shareServed(world: StatementWorld, from: number): number {
  const {started, served} = world.counts.servedSince(from);
  return served / started;
}

describe('sessions of client accounts', () => {
  test('are served over connections that were opened for their account', () => {
    for (const seed of SEEDS) {
      const world = createWorld(seed);
      world.finish();
      const isServed = shareServed(world, WARM_UP) > 0.99;
      const broken = world.checker.broken();
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
      const world = createWorld(seed, fleet);
      world.finish();
      const isServed = shareServed(world, WARM_UP) > 0.98;
      const broken = world.checker.broken();
      expect({seed, broken, isServed}).toEqual({
        seed,
        broken: [],
        isServed: true,
      });
    }
  });

  test('keep their accounts apart while faults meet', () => {
    for (const seed of SEEDS) {
      const world = createWorld(seed);
      const random = createRandom(seed);
      world.timer.after(WARM_UP, () => {
        startFault(world, 'kill proxy', random);
        startFault(world, 'crash primary', random);
        startFault(world, 'answers lost', random);
      });
      world.finish();
      const broken = world.checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });
});

describe('keys that are taken away', () => {
  const [lost, ...kept] = WORLD.accounts;
  const without = [{...lost, keyDigests: []}, ...kept] as typeof WORLD.accounts;

  function countRefused(world: StatementWorld): number {
    return world.counts.errors.get('notAuthorized') ?? 0;
  }

  test('serve no statement of an open session, and the others go on', () => {
    for (const seed of SEEDS) {
      const world = createWorld(seed);
      world.timer.advance(WARM_UP);
      world.configure({accounts: without});
      world.finish();
      const broken = world.checker.broken();
      const isRefused = countRefused(world) > 0;
      expect({seed, broken, isRefused}).toEqual({
        seed,
        broken: [],
        isRefused: true,
      });
    }
  });

  /** Cuts two proxies off from the store and from the others; gives the runs. */
  function playCutOff(seed: number, revocation: number | undefined) {
    const world = createWorld(
      seed,
      revocation === undefined ? {} : {revocation},
    );
    const {timer, relays, proxies} = world;
    timer.advance(WARM_UP);
    const hosts = proxies.map(world.hostOf);
    const [first = '', second = ''] = hosts;
    hosts.slice(2).forEach(host => {
      relays.cut(first, host);
      relays.cut(second, host);
    });
    relays.cut(first, second);
    world.store.faults.refused = new Set(proxies.slice(0, 2));
    world.configure({accounts: without});
    timer.advance(6000);
    const {broken} = world.checker;
    return {
      isServedByLostKey: broken().some(({rule}) => rule === 'key taken away'),
      refused: world.counts.errors.get('busy') ?? 0,
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
      const world = createWorld(seed);
      world.timer.advance(WARM_UP);
      world.store.faults.refused = new Set(world.proxies.slice(0, 2));
      world.timer.advance(500);
      world.configure({accounts: without});
      world.finish();
      const broken = world.checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });
});
