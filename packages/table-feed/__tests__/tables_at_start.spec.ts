import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type FeedFleet, createFeedFleet} from './feed_fleet';

const SEEDS = [1, 2, 3];
const DATA_CENTRES = 6;
const FLEET = {proxies: 119, dataCentres: DATA_CENTRES, tables: 4};
const SETTLING_TIME_MS = 5000;
const DOWNTIME_MS = 1000;
/** Shorter than the time that a starting proxy leaves its distributors. */
const START_SPREAD_MS = 200;
/** Time after the start within which calls of the store are counted. */
const OBSERVED_TIME_MS = 2000;
/** Time within which all have the tables, from the last start. */
const TABLES_BOUND_MS = 150;
/** The same where both distributors of a data centre are gone. */
const TABLES_BOUND_WITHOUT_DISTRIBUTORS_MS = 600;
const CALLS_PER_PROXY = 2;
const CALLS_PER_DISTRIBUTOR = 20;
/** Without the wait for named distributors at least 743. */
const MOST_CALLS_IN_100_MS = 700;
const CENTRE = 'centre-1';

type Stop = 'kill' | 'powerOff';

interface StoppedFleet {
  readonly fleet: FeedFleet;
  readonly distributors: readonly string[];
  readonly others: readonly string[];
}

/** A fleet that ran until its rows were settled, and was stopped as a whole. */
function stopFleet(seed: number, stop: Stop): StoppedFleet {
  const fleet = createFeedFleet({seed, ...FLEET});
  fleet.startAll(START_SPREAD_MS);
  fleet.timer.advance(SETTLING_TIME_MS);
  const dataCentres = new Set(fleet.names.map(fleet.dataCentreOf));
  const distributors = [...dataCentres].flatMap(fleet.distributors);
  fleet.names.forEach(fleet[stop]);
  fleet.timer.advance(DOWNTIME_MS);
  const others = fleet.names.filter(name => !distributors.includes(name));
  return {fleet, distributors, others};
}

function countCalls(fleet: FeedFleet, name: string): number {
  return Object.values(fleet.callsOf(name)).reduce(
    (sum, count) => sum + count,
    0,
  );
}

function mostCalls(fleet: FeedFleet, names: readonly string[]): number {
  return Math.max(...names.map(name => countCalls(fleet, name)));
}

function withoutTables(fleet: FeedFleet, names = fleet.names): string[] {
  return names.filter(name => fleet.firstTablesAfter(name) === Infinity);
}

describe('proxies that start together while the rows name their distributors', () => {
  test('call the store once or twice each and have all tables soon', () => {
    for (const seed of SEEDS) {
      const {fleet, distributors, others} = stopFleet(seed, 'kill');
      fleet.startAll(START_SPREAD_MS);
      fleet.timer.advance(TABLES_BOUND_MS);
      const missing = withoutTables(fleet);
      fleet.timer.advance(OBSERVED_TIME_MS);
      expect({
        seed,
        missing,
        areFewByOthers: mostCalls(fleet, others) <= CALLS_PER_PROXY,
        areFewByDistributors:
          mostCalls(fleet, distributors) <= CALLS_PER_DISTRIBUTOR,
      }).toEqual({
        seed,
        missing: [],
        areFewByOthers: true,
        areFewByDistributors: true,
      });
    }
  });

  for (const stop of ['kill', 'powerOff'] as const) {
    test(`wait for distributors that start later after ${stop}`, () => {
      for (const seed of SEEDS) {
        const {fleet, distributors, others} = stopFleet(seed, stop);
        others.forEach(fleet.start);
        fleet.timer.advance(90);
        distributors.forEach(fleet.start);
        fleet.timer.advance(TABLES_BOUND_MS);
        const missing = withoutTables(fleet);
        fleet.timer.advance(OBSERVED_TIME_MS);
        const areFew = mostCalls(fleet, others) <= CALLS_PER_PROXY;
        expect({seed, missing, areFew}).toEqual({
          seed,
          missing: [],
          areFew: true,
        });
      }
    });
  }

  test('use the second distributor if the first is lost while it sends', () => {
    for (const seed of SEEDS) {
      const {fleet, distributors, others} = stopFleet(seed, 'kill');
      const [lost = ''] = distributors;
      fleet.names.forEach(fleet.start);
      fleet.timer.advance(8);
      fleet.kill(lost);
      fleet.timer.advance(TABLES_BOUND_MS);
      const missing = withoutTables(fleet).filter(name => name !== lost);
      const areFew = mostCalls(fleet, others) <= CALLS_PER_PROXY;
      expect({seed, missing, areFew}).toEqual({
        seed,
        missing: [],
        areFew: true,
      });
    }
  });

  test('follow the store, but not at once, if both distributors are gone', () => {
    for (const stop of ['kill', 'powerOff'] as const) {
      for (const seed of SEEDS) {
        const {fleet, distributors} = stopFleet(seed, stop);
        const isGone = (name: string) =>
          fleet.dataCentreOf(name) === CENTRE && distributors.includes(name);
        const started = fleet.names.filter(name => !isGone(name));
        const affected = started.filter(
          name => fleet.dataCentreOf(name) === CENTRE,
        );
        started.forEach(fleet.start);
        fleet.timer.advance(240);
        const callsBefore = mostCalls(fleet, affected);
        fleet.timer.advance(TABLES_BOUND_WITHOUT_DISTRIBUTORS_MS - 240);
        const missing = withoutTables(fleet, started);
        expect({stop, seed, callsBefore, missing}).toEqual({
          stop,
          seed,
          callsBefore: 1,
          missing: [],
        });
      }
    }
  });

  test('do not call the store more often at a time if all distributors are gone', () => {
    for (const seed of SEEDS) {
      const {fleet, others} = stopFleet(seed, 'kill');
      others.forEach(fleet.start);
      const callsByTenth: number[] = [];
      for (let tenth = 0; tenth < 10; tenth++) {
        const before = fleet.store.calls();
        fleet.timer.advance(100);
        callsByTenth.push(fleet.store.calls() - before);
      }
      const isSpread = Math.max(...callsByTenth) <= MOST_CALLS_IN_100_MS;
      expect({seed, missing: withoutTables(fleet, others), isSpread}).toEqual({
        seed,
        missing: [],
        isSpread: true,
      });
    }
  });

  test('have the tables although the store refuses a distributor of each data centre', () => {
    for (const seed of SEEDS) {
      const {fleet, distributors, others} = stopFleet(seed, 'kill');
      const refused = distributors.filter((unused, index) => index % 2 === 0);
      refused.forEach(name =>
        (fleet.store.faults.refused as Set<string>).add(name),
      );
      fleet.names.forEach(fleet.start);
      fleet.timer.advance(TABLES_BOUND_MS);
      const missing = withoutTables(fleet, others);
      fleet.timer.advance(TABLES_BOUND_WITHOUT_DISTRIBUTORS_MS);
      const missingLater = withoutTables(fleet);
      const areFew = mostCalls(fleet, others) <= CALLS_PER_PROXY;
      expect({seed, missing, missingLater, areFew}).toEqual({
        seed,
        missing: [],
        missingLater: [],
        areFew: true,
      });
    }
  });
});

describe('proxies that start together before there are any rows', () => {
  /** 483 to 510 calls; without the wait for named distributors 695 to 780. */
  const CALLS_OF_FIRST_START = 600;

  test('have all tables within half a second and make fewer calls', () => {
    for (const seed of SEEDS) {
      const fleet = createFeedFleet({seed, ...FLEET});
      fleet.startAll(300);
      fleet.timer.advance(500);
      const missing = withoutTables(fleet);
      fleet.timer.advance(OBSERVED_TIME_MS - 500);
      const isCheap = fleet.store.calls() < CALLS_OF_FIRST_START;
      expect({seed, missing, isCheap}).toEqual({
        seed,
        missing: [],
        isCheap: true,
      });
    }
  });
});
