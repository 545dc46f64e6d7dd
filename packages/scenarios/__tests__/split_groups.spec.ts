import type {Connection, Transport} from '@kelpstep/rpc';
import {mapFuture} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Ok} from 'ts-results';

import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const SEEDS = [1, 2, 3, 4];
const DURATION_MS = 13_000;
const WARM_UP_MS = 4000;
/** Time after the partition within which the group is served again. */
const RECOVERY_TIME_MS = 2500;
const MEASUREMENT_TIME_MS = 2000;
/** An outage this long outlasts the latest start of statements of all routes. */
const OUTAGE_MS = 3000;
/** Refusals include the round trips to peers that have no proof either. */
const MAXIMUM_REFUSAL_TIME_MS = 50;
const PRIMARY = 'target-1';
const REPLICAS = ['target-2', 'target-3'];
const NEAR_PRIMARY = ['proxy-1', 'proxy-3'];
const NEAR_REPLICAS = ['proxy-2', 'proxy-4'];

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

function hasNewPrimary({group}: StatementSimulation): boolean {
  return REPLICAS.some(name => group.target(name).role() === 'primary');
}

/** Checks that the group is served in time, also when the partition heals. */
function expectRecovery(seed: number, simulation: StatementSimulation): void {
  const {timer, counts, network, checker} = simulation;
  timer.advance(RECOVERY_TIME_MS);
  const from = timer.now();
  timer.advance(MEASUREMENT_TIME_MS);
  const {started, served} = counts.countsSince(from);
  network.healAll();
  simulation.finish();
  const isServed = served / started > 0.97;
  expect({seed, isServed, broken: checker.broken()}).toEqual({
    seed,
    isServed: true,
    broken: [],
  });
}

/** Checks that no succession takes place, and that no rule is broken. */
function expectSamePrimary(
  seed: number,
  simulation: StatementSimulation,
): void {
  const {timer, network, checker} = simulation;
  const isReplaced = timer.runUntil(
    () => hasNewPrimary(simulation),
    RECOVERY_TIME_MS + MEASUREMENT_TIME_MS,
  );
  network.healAll();
  simulation.finish();
  expect({seed, isReplaced, broken: checker.broken()}).toEqual({
    seed,
    isReplaced: false,
    broken: [],
  });
}

/** Sends messages like an older proxy, which does not know the field. */
function asOlderProxy(transport: Transport): Transport {
  function withoutField(connection: Connection): Connection {
    return {
      ...connection,
      send(message) {
        const text = JSON.stringify(message, (key, value: unknown) =>
          key === 'reachesReplica' ? undefined : value,
        );
        connection.send(JSON.parse(text) as object);
      },
    };
  }

  return {
    dial: (address, timeout) =>
      mapFuture(transport.dial(address, timeout), dialled =>
        dialled.ok ? Ok(withoutField(dialled.val)) : dialled,
      ),
    listen: (address, accept) =>
      transport.listen(address, connection => accept(withoutField(connection))),
  };
}

describe('a group whose primary is partitioned from its replicas', () => {
  test('is served again although no proxy reaches both sides', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
      });
      simulation.timer.advance(WARM_UP_MS);
      splitGroup(simulation);
      expectRecovery(seed, simulation);
    }
  });

  test('is not held up by a proxy that has never known the primary', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
      });
      const {timer} = simulation;
      timer.advance(WARM_UP_MS);
      simulation.killProxy('proxy-2');
      simulation.startProxy('proxy-2');
      separate(simulation, ['proxy-2'], [PRIMARY]);
      timer.advance(MEASUREMENT_TIME_MS);
      splitGroup(simulation);
      expectRecovery(seed, simulation);
    }
  });

  test('keeps its primary if only older peers reach it', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
        wrapTransport: (proxy, transport) =>
          NEAR_PRIMARY.includes(proxy) ? asOlderProxy(transport) : transport,
      });
      simulation.timer.advance(WARM_UP_MS);
      splitGroup(simulation);
      expectSamePrimary(seed, simulation);
    }
  });
});

describe('a group that one proxy reaches completely', () => {
  test('keeps its primary although no other proxy reaches both sides', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
      });
      simulation.timer.advance(WARM_UP_MS);
      separate(simulation, ['proxy-1'], REPLICAS);
      separate(simulation, NEAR_REPLICAS, [PRIMARY]);
      expectSamePrimary(seed, simulation);
    }
  });
});

describe('statements without a possible proof of freshness', () => {
  test('are refused immediately instead of waiting for a proof', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
      });
      const {timer, counts, proxies} = simulation;
      timer.advance(WARM_UP_MS);
      separate(simulation, proxies, REPLICAS);
      timer.advance(OUTAGE_MS);
      const from = timer.now();
      timer.advance(MEASUREMENT_TIME_MS);
      const times = counts.refusalDurationsBetween(from, timer.now());
      const isImmediate =
        times.length > 0 && Math.max(...times) <= MAXIMUM_REFUSAL_TIME_MS;
      simulation.network.healAll();
      simulation.finish();
      const broken = simulation.checker.broken();
      expect({seed, isImmediate, broken}).toEqual({
        seed,
        isImmediate: true,
        broken: [],
      });
    }
  });
});
