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

const DURATION = 16_000;
/** The fleet is known, and its parts of quotas are lent. */
const WARM_UP = 6000;
const WINDOW: Milliseconds = 5000;
const SECOND: Milliseconds = 1000;
const SEEDS = [1, 2, 3, 4];
/** Keepers may each round one operation up, and there is one in a data centre. */
const KEEPERS = 3;

const QUOTA: QuotaLimit = {rate: 12, burst: 12};
/** Far beyond what callers ask. */
const AMPLE: QuotaLimit = {rate: 1000, burst: 1000};
const HOT = 'account-1';
const COOL = 'account-2';

/** Callers of the first account ask many times its quota. */
function createWorld(
  seed: number,
  options: Partial<StatementSimulationOptions> = {},
): StatementSimulation {
  const [hot, cool] = createAccounts(2, QUOTA);
  const accounts = [hot, cool].flatMap(each => (each ? [each] : []));
  return createStatementSimulation({
    seed,
    duration: DURATION,
    proxies: 6,
    sessions: 24,
    connectionLimit: 30,
    accounts: accounts.map(each =>
      each.name === COOL ? {...each, quota: AMPLE} : each,
    ),
    ...options,
  });
}

/** The most operations that were both sent and run within one window. */
function mostInWindow(operations: readonly RunOperation[]): number {
  const counts = operations.map(
    ({sentAt: start}) =>
      operations.filter(
        ({sentAt, ranAt}) => sentAt >= start && ranAt < start + WINDOW,
      ).length,
  );
  return Math.max(0, ...counts);
}

function bound({rate, burst}: QuotaLimit, keepers = KEEPERS): number {
  return burst + (rate * WINDOW) / SECOND + keepers;
}

/** Ends the play and judges the hot account's operations. */
function expectWithin(
  seed: number,
  simulation: StatementSimulation,
  most: number,
): void {
  simulation.finish();
  const count = mostInWindow(simulation.checker.operationsOf(HOT));
  const broken = simulation.checker.broken();
  expect({seed, broken, isWithin: count <= most, count}).toEqual({
    seed,
    broken: [],
    isWithin: true,
    count,
  });
}

describe('an account that asks many times its quota', () => {
  test('gets its quota, and no more', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      expectWithin(seed, simulation, bound(QUOTA));
      const later = simulation.checker
        .operationsOf(HOT)
        .filter(({sentAt}) => sentAt >= WARM_UP);
      const seconds = (DURATION - WARM_UP) / SECOND;
      const isUsed = later.length >= 0.85 * QUOTA.rate * seconds;
      expect({seed, isUsed}).toEqual({seed, isUsed: true});
    }
  });

  test('takes nothing from the others', () => {
    for (const seed of SEEDS) {
      const beside = createWorld(seed);
      const alone = createWorld(seed, {
        sessions: 12,
        accounts: createAccounts(2, AMPLE).slice(1),
      });
      const [share, shareAlone] = [beside, alone].map(simulation => {
        simulation.finish();
        const {started, served} = simulation.counts.countsOfAccount(
          COOL,
          WARM_UP,
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

  test('gets no more from two halves that take each other for dead', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      const {timer, relays, proxies} = simulation;
      const hosts = proxies.map(simulation.hostOf);
      timer.advance(WARM_UP);
      relays.cutGroups(hosts.slice(0, 3), hosts.slice(3));
      simulation.store.faults.refused = new Set(proxies.slice(0, 3));
      timer.advance(6000);
      relays.healAll();
      simulation.store.faults.refused = new Set();
      // Each half may have a keeper for each data centre.
      expectWithin(seed, simulation, bound(QUOTA, 2 * KEEPERS));
    }
  });

  test('gets no more while keepers are killed and start again', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      const {timer, proxies} = simulation;
      timer.advance(WARM_UP);
      for (const proxy of proxies) {
        simulation.killProxy(proxy);
        timer.advance(700);
        simulation.startProxy(proxy);
        timer.advance(300);
      }
      expectWithin(seed, simulation, bound(QUOTA, 2 * KEEPERS));
    }
  });

  test('gets no more when all proxies lose power, and no burst at the start', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      const {timer, proxies} = simulation;
      timer.advance(WARM_UP);
      proxies.forEach(simulation.cutPower);
      timer.advance(800);
      proxies.forEach(simulation.startProxy);
      expectWithin(seed, simulation, bound(QUOTA));
    }
  });

  test('gets its part of the tolerance when all proxies start, and no more', () => {
    const quotaTolerance = {window: WINDOW, overage: 0.1, slack: 10};
    const allowance = createStartAllowance(quotaTolerance)(QUOTA);
    for (const seed of SEEDS) {
      const served = [undefined, quotaTolerance].map(tolerance => {
        const simulation = createWorld(
          seed,
          tolerance === undefined ? {} : {quotaTolerance: tolerance},
        );
        const {timer, proxies} = simulation;
        timer.advance(WARM_UP);
        proxies.forEach(simulation.killProxy);
        timer.advance(800);
        const from = timer.now();
        proxies.forEach(simulation.startProxy);
        timer.advance(3000);
        const early = simulation.checker
          .operationsOf(HOT)
          .filter(({ranAt}) => ranAt >= from).length;
        // Keepers of before and after may each round one up.
        expectWithin(seed, simulation, bound(QUOTA, 2 * KEEPERS) + allowance);
        return early;
      }) as [number, number];
      const isMore = served[1] >= served[0] + allowance / 2;
      expect({seed, isMore, served}).toEqual({seed, isMore: true, served});
    }
  });

  test('is bound by a lower limit, and served at once by a higher one', () => {
    for (const seed of SEEDS) {
      const simulation = createWorld(seed);
      const lower = {rate: 3, burst: 3};
      const [hot, cool] = createAccounts(2, lower);
      simulation.timer.advance(WARM_UP);
      simulation.configure({accounts: [hot, cool].flatMap(each => each ?? [])});
      simulation.timer.advance(5000);
      const from = simulation.timer.now();
      simulation.finish();
      const operations = simulation.checker
        .operationsOf(HOT)
        .filter(({sentAt}) => sentAt >= from);
      const count = mostInWindow(operations);
      expect({seed, isWithin: count <= bound(lower), count}).toEqual({
        seed,
        isWithin: true,
        count,
      });
    }
  });
});

describe('an account within its quota', () => {
  const SMALL: QuotaLimit = {rate: 40, burst: 40};

  test('is served though its callers come to all proxies', () => {
    for (const seed of SEEDS) {
      const accounts = createAccounts(4, SMALL);
      const simulation = createWorld(seed, {accounts, sessions: 8});
      simulation.finish();
      const {started, served} = simulation.counts.countsSince(WARM_UP);
      const isServed = served / started > 0.99;
      expect({seed, isServed, started, served}).toEqual({
        seed,
        isServed: true,
        started,
        served,
      });
    }
  });

  test('is served while the keeper of its data centre is lost', () => {
    for (const seed of SEEDS) {
      const accounts = createAccounts(4, SMALL);
      const simulation = createWorld(seed, {accounts, sessions: 8});
      const {timer} = simulation;
      timer.advance(WARM_UP);
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
