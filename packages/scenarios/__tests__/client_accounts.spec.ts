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

const DURATION_MS = 14_000;
const WARM_UP_MS = 4000;
const SEEDS = [1, 2, 3, 4, 5, 6];

/** The number of accounts exceeds a proxy's connections to a target. */
const DEFAULT_OPTIONS = {
  duration: DURATION_MS,
  accounts: createAccounts(12, undefined),
  openingTime: 12,
} as const;

function createSimulation(
  seed: number,
  options: Partial<StatementSimulationOptions> = {},
): StatementSimulation {
  return createStatementSimulation({...DEFAULT_OPTIONS, ...options, seed});
}

function servedShare(simulation: StatementSimulation, from: number): number {
  const {started, served} = simulation.counts.countsSince(from);
  return served / started;
}

describe('sessions of client accounts', () => {
  test('are served over connections opened for their account', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      simulation.finish();
      const isServed = servedShare(simulation, WARM_UP_MS) > 0.99;
      const broken = simulation.checker.broken();
      expect({seed, broken, isServed}).toEqual({
        seed,
        broken: [],
        isServed: true,
      });
    }
  });

  test('are served when a few proxies own all connections', () => {
    for (const seed of SEEDS) {
      const fleet = {proxies: 15, sessions: 30, connectionLimit: 20};
      const simulation = createSimulation(seed, fleet);
      simulation.finish();
      const isServed = servedShare(simulation, WARM_UP_MS) > 0.98;
      const broken = simulation.checker.broken();
      expect({seed, broken, isServed}).toEqual({
        seed,
        broken: [],
        isServed: true,
      });
    }
  });

  test('stay separated by account under simultaneous faults', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      const random = createRandom(seed);
      simulation.timer.after(WARM_UP_MS, () => {
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

describe('revoked keys', () => {
  const [revoked, ...others] = DEFAULT_OPTIONS.accounts;
  const accountsAfterRevocation = [
    {...revoked, keyDigests: []},
    ...others,
  ] as typeof DEFAULT_OPTIONS.accounts;

  function countUnauthorized(simulation: StatementSimulation): number {
    return simulation.counts.errors.get('notAuthorized') ?? 0;
  }

  test('are refused in open sessions while other accounts are served', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      simulation.timer.advance(WARM_UP_MS);
      simulation.configure({accounts: accountsAfterRevocation});
      simulation.finish();
      const broken = simulation.checker.broken();
      const isRefused = countUnauthorized(simulation) > 0;
      expect({seed, broken, isRefused}).toEqual({
        seed,
        broken: [],
        isRefused: true,
      });
    }
  });

  /**
   * Partitions two proxies from the store and from all other proxies, then
   * revokes the keys of one account.
   */
  function simulatePartition(seed: number, revocation: number | undefined) {
    const simulation = createSimulation(
      seed,
      revocation === undefined ? {} : {revocation},
    );
    const {timer, relays, proxies} = simulation;
    timer.advance(WARM_UP_MS);
    const hosts = proxies.map(simulation.hostOf);
    const [first = '', second = ''] = hosts;
    hosts.slice(2).forEach(host => {
      relays.partition(first, host);
      relays.partition(second, host);
    });
    relays.partition(first, second);
    simulation.store.faults.refused = new Set(proxies.slice(0, 2));
    simulation.configure({accounts: accountsAfterRevocation});
    timer.advance(6000);
    const {broken} = simulation.checker;
    return {
      isServedByRevokedKey: broken().some(
        ({rule}) => rule === 'key taken away',
      ),
      refused: simulation.counts.errors.get('busy') ?? 0,
    };
  }

  test('are refused by a partitioned proxy if revocation is strict', () => {
    for (const seed of SEEDS) {
      const strict = simulatePartition(seed, 2500);
      expect({seed, ...strict, isRefused: strict.refused > 0}).toEqual({
        seed,
        ...strict,
        isServedByRevokedKey: false,
        isRefused: true,
      });
    }
  });

  test('are served by a partitioned proxy if revocation is not strict', () => {
    const results = SEEDS.map(seed => simulatePartition(seed, undefined));
    expect(results.some(result => result.isServedByRevokedKey)).toEqual(true);
  });

  test('are refused by a proxy whose requests the store rejects', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      simulation.timer.advance(WARM_UP_MS);
      simulation.store.faults.refused = new Set(simulation.proxies.slice(0, 2));
      simulation.timer.advance(500);
      simulation.configure({accounts: accountsAfterRevocation});
      simulation.finish();
      const broken = simulation.checker.broken();
      expect({seed, broken}).toEqual({seed, broken: []});
    }
  });
});
