import {type QuotaLimit, createStartAllowance} from '@kelpstep/accounts';
import type {Milliseconds} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {RunOperation} from '../src/statements/rule_checker';
import {createAccounts} from '../src/statements/statement_accounts';
import {
  type StatementSimulation,
  type StatementSimulationOptions,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const DURATION_MS = 16_000;
/** Proxies have discovered each other and hold leases on quota shares. */
const WARM_UP_MS = 6000;
const WINDOW_MS: Milliseconds = 5000;
const SECOND_MS: Milliseconds = 1000;
const SEEDS = [1, 2, 3, 4];
/** One quota coordinator per data centre; each may round up by one. */
const COORDINATOR_COUNT = 3;

const QUOTA: QuotaLimit = {rate: 12, burst: 12};
/** Quota in operations per second, far above what the callers request. */
const AMPLE_QUOTA: QuotaLimit = {rate: 1000, burst: 1000};
const BUSY_ACCOUNT = 'account-1';
const OTHER_ACCOUNT = 'account-2';

/** Callers of the first account request many times its quota. */
function createSimulation(
  seed: number,
  options: Partial<StatementSimulationOptions> = {},
): StatementSimulation {
  const [busy, other] = createAccounts(2, QUOTA);
  const accounts = [busy, other].flatMap(each => (each ? [each] : []));
  return createStatementSimulation({
    seed,
    duration: DURATION_MS,
    proxies: 6,
    sessions: 24,
    connectionLimit: 30,
    accounts: accounts.map(each =>
      each.name === OTHER_ACCOUNT ? {...each, quota: AMPLE_QUOTA} : each,
    ),
    ...options,
  });
}

/** Maximum number of operations both sent and run within one window. */
function maximumInWindow(operations: readonly RunOperation[]): number {
  const counts = operations.map(
    ({sentAt: start}) =>
      operations.filter(
        ({sentAt, ranAt}) => sentAt >= start && ranAt < start + WINDOW_MS,
      ).length,
  );
  return Math.max(0, ...counts);
}

function maximumOperations(
  {rate, burst}: QuotaLimit,
  coordinatorCount = COORDINATOR_COUNT,
): number {
  return burst + (rate * WINDOW_MS) / SECOND_MS + coordinatorCount;
}

/** Finishes the simulation and checks the operations of the busy account. */
function expectAtMost(
  seed: number,
  simulation: StatementSimulation,
  maximum: number,
): void {
  simulation.finish();
  const count = maximumInWindow(simulation.checker.operationsOf(BUSY_ACCOUNT));
  const broken = simulation.checker.broken();
  expect({seed, broken, isWithin: count <= maximum, count}).toEqual({
    seed,
    broken: [],
    isWithin: true,
    count,
  });
}

describe('an account that requests many times its quota', () => {
  test('receives its quota and no more', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      expectAtMost(seed, simulation, maximumOperations(QUOTA));
      const later = simulation.checker
        .operationsOf(BUSY_ACCOUNT)
        .filter(({sentAt}) => sentAt >= WARM_UP_MS);
      const seconds = (DURATION_MS - WARM_UP_MS) / SECOND_MS;
      const isUsed = later.length >= 0.85 * QUOTA.rate * seconds;
      expect({seed, isUsed}).toEqual({seed, isUsed: true});
    }
  });

  test('does not reduce the share served of another account', () => {
    for (const seed of SEEDS) {
      const shared = createSimulation(seed);
      const alone = createSimulation(seed, {
        sessions: 12,
        accounts: createAccounts(2, AMPLE_QUOTA).slice(1),
      });
      const [share, shareAlone] = [shared, alone].map(simulation => {
        simulation.finish();
        const {started, served} = simulation.counts.countsOfAccount(
          OTHER_ACCOUNT,
          WARM_UP_MS,
        );
        return served / started;
      }) as [number, number];
      const isKept = share >= shareAlone - 0.02;
      expect({seed, isKept, share, shareAlone}).toEqual({
        seed,
        isKept: true,
        share,
        shareAlone,
      });
    }
  });

  test('receives no more from two partitioned halves of the fleet', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      const {timer, relays, proxies} = simulation;
      const hosts = proxies.map(simulation.hostOf);
      timer.advance(WARM_UP_MS);
      relays.partitionGroups(hosts.slice(0, 3), hosts.slice(3));
      simulation.store.faults.refused = new Set(proxies.slice(0, 3));
      timer.advance(6000);
      relays.healAll();
      simulation.store.faults.refused = new Set();
      // Each half may have a coordinator for each data centre.
      expectAtMost(
        seed,
        simulation,
        maximumOperations(QUOTA, 2 * COORDINATOR_COUNT),
      );
    }
  });

  test('receives no more while coordinators are killed and restarted', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      const {timer, proxies} = simulation;
      timer.advance(WARM_UP_MS);
      for (const proxy of proxies) {
        simulation.killProxy(proxy);
        timer.advance(700);
        simulation.startProxy(proxy);
        timer.advance(300);
      }
      expectAtMost(
        seed,
        simulation,
        maximumOperations(QUOTA, 2 * COORDINATOR_COUNT),
      );
    }
  });

  test('receives no more, and no burst, after all proxies lose power', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      const {timer, proxies} = simulation;
      timer.advance(WARM_UP_MS);
      proxies.forEach(simulation.cutPower);
      timer.advance(800);
      proxies.forEach(simulation.startProxy);
      expectAtMost(seed, simulation, maximumOperations(QUOTA));
    }
  });

  test('receives its share of the tolerance, and no more, after a full restart', () => {
    const quotaTolerance = {window: WINDOW_MS, overage: 0.1, slack: 10};
    const allowance = createStartAllowance(quotaTolerance)(QUOTA);
    for (const seed of SEEDS) {
      const served = [undefined, quotaTolerance].map(tolerance => {
        const simulation = createSimulation(
          seed,
          tolerance === undefined ? {} : {quotaTolerance: tolerance},
        );
        const {timer, proxies} = simulation;
        timer.advance(WARM_UP_MS);
        proxies.forEach(simulation.killProxy);
        timer.advance(800);
        const from = timer.now();
        proxies.forEach(simulation.startProxy);
        timer.advance(3000);
        const ranEarly = simulation.checker
          .operationsOf(BUSY_ACCOUNT)
          .filter(({ranAt}) => ranAt >= from).length;
        // Coordinators before and after the restart may each round up by one.
        expectAtMost(
          seed,
          simulation,
          maximumOperations(QUOTA, 2 * COORDINATOR_COUNT) + allowance,
        );
        return ranEarly;
      }) as [number, number];
      const isMore = served[1] >= served[0] + allowance / 2;
      expect({seed, isMore, served}).toEqual({seed, isMore: true, served});
    }
  });

  test('is limited by a lower quota after a configuration change', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      const lowerQuota = {rate: 3, burst: 3};
      const [busy, other] = createAccounts(2, lowerQuota);
      simulation.timer.advance(WARM_UP_MS);
      simulation.configure({
        accounts: [busy, other].flatMap(each => each ?? []),
      });
      simulation.timer.advance(5000);
      const from = simulation.timer.now();
      simulation.finish();
      const operations = simulation.checker
        .operationsOf(BUSY_ACCOUNT)
        .filter(({sentAt}) => sentAt >= from);
      const count = maximumInWindow(operations);
      expect({
        seed,
        isWithin: count <= maximumOperations(lowerQuota),
        count,
      }).toEqual({
        seed,
        isWithin: true,
        count,
      });
    }
  });
});

describe('an account within its quota', () => {
  const SUFFICIENT_QUOTA: QuotaLimit = {rate: 40, burst: 40};

  test('is served when its callers use all proxies', () => {
    for (const seed of SEEDS) {
      const accounts = createAccounts(4, SUFFICIENT_QUOTA);
      const simulation = createSimulation(seed, {accounts, sessions: 8});
      simulation.finish();
      const {started, served} = simulation.counts.countsSince(WARM_UP_MS);
      const isServed = served / started > 0.99;
      expect({seed, isServed, started, served}).toEqual({
        seed,
        isServed: true,
        started,
        served,
      });
    }
  });

  test('is served during the loss of a quota coordinator', () => {
    for (const seed of SEEDS) {
      const accounts = createAccounts(4, SUFFICIENT_QUOTA);
      const simulation = createSimulation(seed, {accounts, sessions: 8});
      const {timer} = simulation;
      timer.advance(WARM_UP_MS);
      const from = timer.now();
      simulation.killProxy('proxy-1');
      timer.advance(2500);
      simulation.startProxy('proxy-1');
      simulation.finish();
      const {started, served} = simulation.counts.countsSince(from);
      const isServed = served / started > 0.95;
      expect({seed, isServed, started, served}).toEqual({
        seed,
        isServed: true,
        started,
        served,
      });
    }
  });
});
