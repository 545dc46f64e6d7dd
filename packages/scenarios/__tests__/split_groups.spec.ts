import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const SEEDS = [1, 2, 3, 4];
const WARM_UP_MS = 4000;
/** Time after the partition within which the group is served again. */
const RECOVERY_TIME_MS = 2500;
const MEASUREMENT_TIME_MS = 2000;
/**
 * Longer than the time after which a change is taken over, and than the latest
 * start of statements of all routes.
 */
const OUTAGE_MS = 3000;
/** Refusals include the round trips to peers that have no proof either. */
const MAXIMUM_REFUSAL_TIME_MS = 50;
const PRIMARY = 'target-1';
const REPLICAS = ['target-2', 'target-3'];
const NEAR_PRIMARY = ['proxy-1', 'proxy-3'];
const NEAR_REPLICAS = ['proxy-2', 'proxy-4'];

/**
 * Runs a simulation with each seed, heals all partitions at its end, and checks
 * the result of `act` and that no rule was broken.
 */
function expectWithEachSeed(
  expected: boolean,
  act: (simulation: StatementSimulation) => boolean,
  olderProxies: readonly string[] = [],
): void {
  for (const seed of SEEDS) {
    const simulation = createStatementSimulation({
      seed,
      duration: 13_000,
      replaceMessage: (proxy, message) =>
        olderProxies.includes(proxy) ? asSentByOlderProxy(message) : message,
    });
    simulation.timer.advance(WARM_UP_MS);
    const result = act(simulation);
    simulation.network.healAll();
    simulation.finish();
    const broken = simulation.checker.broken();
    const whole = {seed, result: expected, broken: []};
    expect({seed, result, broken}).toEqual(whole);
  }
}

function separate(
  {network, endpointOf}: StatementSimulation,
  proxies: readonly string[],
  targets: readonly string[],
): void {
  for (const proxy of proxies) {
    targets.forEach(target => network.partition(endpointOf(proxy), target));
  }
}

/** Partitions the primary and half of the proxies from the replicas. */
function splitGroup(simulation: StatementSimulation): void {
  REPLICAS.forEach(target => simulation.network.partition(PRIMARY, target));
  separate(simulation, NEAR_PRIMARY, REPLICAS);
  separate(simulation, NEAR_REPLICAS, [PRIMARY]);
}

function isServed({timer, counts}: StatementSimulation): boolean {
  const from = timer.now();
  timer.advance(MEASUREMENT_TIME_MS);
  const {started, served} = counts.countsSince(from);
  return served / started > 0.97;
}

function isPrimaryReplaced({timer, group}: StatementSimulation): boolean {
  return timer.runUntil(
    () => REPLICAS.some(name => group.target(name).role() === 'primary'),
    RECOVERY_TIME_MS + MEASUREMENT_TIME_MS,
  );
}

function killHolder(simulation: StatementSimulation): void {
  const rows = simulation.store.clientOf('test').readTable('successions');
  rows.onSettled(result => {
    const changes = result.ok ? result.val.rows : [];
    const values = changes.map(({value}) => JSON.stringify(value)).join();
    NEAR_REPLICAS.filter(name => values.includes(name)).forEach(
      simulation.killProxy,
    );
  });
}

/** A message as an older proxy sends it, without the field for split groups. */
function asSentByOlderProxy(message: object): object {
  const withoutField = (key: string, value: unknown) =>
    key === 'reachesReplica' ? undefined : value;
  return JSON.parse(JSON.stringify(message, withoutField));
}

describe('a group whose primary and replicas are partitioned', () => {
  test('is served again although no proxy reaches both sides', () => {
    expectWithEachSeed(true, simulation => {
      splitGroup(simulation);
      simulation.timer.advance(RECOVERY_TIME_MS);
      return isServed(simulation);
    });
  });

  test('is not held up by a proxy that has never known the primary', () => {
    expectWithEachSeed(true, simulation => {
      simulation.killProxy('proxy-2');
      simulation.startProxy('proxy-2');
      separate(simulation, ['proxy-2'], [PRIMARY]);
      simulation.timer.advance(MEASUREMENT_TIME_MS);
      splitGroup(simulation);
      simulation.timer.advance(RECOVERY_TIME_MS);
      return isServed(simulation);
    });
  });

  // Guards against proxies that take the change over but can't complete it.
  test('is served again if the proxy that replaces the primary is killed', () => {
    expectWithEachSeed(true, simulation => {
      const {timer, group} = simulation;
      splitGroup(simulation);
      timer.runUntil(
        () => REPLICAS.every(target => group.target(target).isPaused()),
        RECOVERY_TIME_MS,
      );
      killHolder(simulation);
      timer.advance(OUTAGE_MS);
      return isServed(simulation);
    });
  });

  test('keeps its primary if only older peers reach it', () => {
    const act = (simulation: StatementSimulation) => {
      splitGroup(simulation);
      return isPrimaryReplaced(simulation);
    };
    expectWithEachSeed(false, act, NEAR_PRIMARY);
  });

  test('keeps its primary while one proxy reaches both sides', () => {
    expectWithEachSeed(false, simulation => {
      separate(simulation, ['proxy-1'], REPLICAS);
      separate(simulation, NEAR_REPLICAS, [PRIMARY]);
      return isPrimaryReplaced(simulation);
    });
  });
});

describe('statements without a possible proof of freshness', () => {
  test('are refused immediately instead of waiting for a proof', () => {
    expectWithEachSeed(true, simulation => {
      const {timer, counts, proxies} = simulation;
      separate(simulation, proxies, REPLICAS);
      timer.advance(OUTAGE_MS);
      const from = timer.now();
      timer.advance(MEASUREMENT_TIME_MS);
      const times = counts.refusalDurationsBetween(from, timer.now());
      return times.length > 0 && Math.max(...times) <= MAXIMUM_REFUSAL_TIME_MS;
    });
  });
});
