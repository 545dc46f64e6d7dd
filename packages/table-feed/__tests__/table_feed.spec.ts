import {createRowWriter} from '@kelpstep/platform';
import {createRandom, createRuntime} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {IGNORED_FEED_EVENTS, createTableFeed} from '..';
import {type FeedFleet, createFeedFleet} from './feed_fleet';

const SEEDS = [1, 2, 3];
const DATA_CENTRES = 6;
const FLEET = {proxies: 60, dataCentres: DATA_CENTRES};
const LARGE_FLEET = {proxies: 195, dataCentres: DATA_CENTRES};
const START_SPREAD_MS = 300;
/** Time after which all proxies know their distributors. */
const SETTLING_TIME_MS = 5000;
/** Time within which every proxy must have a new configuration. */
const PROPAGATION_BOUND_MS = 3000;
/** The same bound after a store outage, counted from its end. */
const PROPAGATION_BOUND_AFTER_OUTAGE_MS = 4000;
const SECOND_MS = 1000;

function startFleet(seed: number, size = FLEET): FeedFleet {
  const fleet = createFeedFleet({seed, ...size});
  fleet.startAll(START_SPREAD_MS);
  fleet.timer.advance(SETTLING_TIME_MS);
  return fleet;
}

/** Commits a configuration and returns the proxies without it after `wait`. */
function configureAndWait(
  fleet: FeedFleet,
  wait = PROPAGATION_BOUND_MS,
): string[] {
  fleet.configure();
  fleet.timer.advance(wait);
  return fleet.outdated();
}

function callsWithin(fleet: FeedFleet, duration: number): number {
  const before = fleet.store.calls();
  fleet.timer.advance(duration);
  return fleet.store.calls() - before;
}

function dataCentresOf(fleet: FeedFleet): string[] {
  return [...new Set(fleet.names.map(fleet.dataCentreOf))];
}

describe('tables of many proxies', () => {
  test('cause store calls per data centre, not per proxy', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      const slots = dataCentresOf(fleet).map(
        centre => fleet.distributors(centre).length,
      );
      const calm = callsWithin(fleet, 10 * SECOND_MS) / 10;
      fleet.configure();
      const perChange = callsWithin(fleet, SECOND_MS) - calm;
      expect({seed, slots, isCalm: calm < 20, isCheap: perChange < 30}).toEqual(
        {
          seed,
          slots: [2, 2, 2, 2, 2, 2],
          isCalm: true,
          isCheap: true,
        },
      );
    }
  });

  test('cause no more store calls with a thousand proxies', () => {
    const fleet = startFleet(1, {...LARGE_FLEET, proxies: 1000});
    const calm = callsWithin(fleet, 10 * SECOND_MS) / 10;
    expect({outdated: configureAndWait(fleet, 200), isCalm: calm < 20}).toEqual(
      {
        outdated: [],
        isCalm: true,
      },
    );
  });

  test('reach every proxy soon after a change', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      expect(configureAndWait(fleet, 100)).toEqual([]);
      for (let count = 0; count < 30; count++) {
        fleet.configure();
        fleet.timer.advance(20);
      }
      fleet.timer.advance(150);
      expect({seed, outdated: fleet.outdated()}).toEqual({seed, outdated: []});
      expect(fleet.regressions()).toEqual(0);
    }
  });

  test('arrive without a gap while proxies subscribe', () => {
    for (const seed of SEEDS) {
      const fleet = createFeedFleet({seed, ...LARGE_FLEET});
      fleet.startAll(START_SPREAD_MS);
      for (let step = 0; step < 40; step++) {
        fleet.configure();
        fleet.timer.advance(25);
      }
      fleet.names.slice(0, 60).forEach(fleet.kill);
      fleet.names.slice(0, 60).forEach(fleet.start);
      fleet.timer.advance(SECOND_MS);
      expect({seed, gaps: fleet.gaps()}).toEqual({seed, gaps: 0});
    }
  });

  test('include removed rows and rows that can not be read', () => {
    const fleet = startFleet(1);
    fleet.putUnreadableRow();
    fleet.timer.advance(SECOND_MS);
    expect(fleet.proxiesWithUnreadableRow().length).toEqual(FLEET.proxies);
    fleet.removeUnreadableRow();
    fleet.timer.advance(SECOND_MS);
    expect(fleet.proxiesWithUnreadableRow()).toEqual([]);
    expect(configureAndWait(fleet, 200)).toEqual([]);
  });

  test('stay up to date when the store has compacted its history', () => {
    const fleet = startFleet(1);
    fleet.store.compact();
    expect(configureAndWait(fleet)).toEqual([]);
  });
});

describe('unresponsive connections to the store', () => {
  const PHASES_MS = [0, 700, 1400, 2100, 2800, 3500, 4200, 4900];

  test('delay no change beyond its staleness bound', () => {
    for (const phase of PHASES_MS) {
      const fleet = startFleet(1);
      fleet.timer.advance(phase);
      fleet.store.dropPendingChangeRequests();
      expect({phase, outdated: configureAndWait(fleet)}).toEqual({
        phase,
        outdated: [],
      });
    }
  });

  test('delay changes only briefly after the end of a store outage', () => {
    for (const silence of [700, 2800, 5600, 7000, 9800]) {
      const fleet = startFleet(2);
      fleet.store.faults.silent = 'all';
      fleet.timer.advance(silence);
      fleet.store.faults.silent = new Set();
      const outdated = configureAndWait(
        fleet,
        PROPAGATION_BOUND_AFTER_OUTAGE_MS,
      );
      expect({silence, outdated}).toEqual({silence, outdated: []});
    }
  });
});

describe('a store that returns from an older copy', () => {
  /** Time in which all proxies learn of a new version. */
  const POLL_PERIOD_MS = 2 * SECOND_MS;

  /** Restores a copy that lacks the last `lostWrites` writes of a proxy. */
  function restoreStore(fleet: FeedFleet, lostWrites: number): void {
    const copy = fleet.store.takeCopy();
    const writer = fleet.store.clientOf('writer');
    for (let count = 0; count < lostWrites; count++) {
      const puts = [{table: 'other', key: `row-${count}`, value: count}];
      writer.transact({preconditions: [], puts});
    }
    fleet.timer.advance(POLL_PERIOD_MS);
    fleet.store.restore(copy);
  }

  test('delays no configuration beyond its staleness bound', () => {
    for (const lostWrites of [0, 1, 5, 60]) {
      for (const wait of [100, SECOND_MS]) {
        const fleet = startFleet(1);
        restoreStore(fleet, lostWrites);
        fleet.timer.advance(wait);
        const outdated = configureAndWait(fleet);
        expect({lostWrites, wait, outdated}).toEqual({
          lostWrites,
          wait,
          outdated: [],
        });
      }
    }
  });
});

describe('a distributor that fails', () => {
  const faults: Array<[string, (fleet: FeedFleet, name: string) => void]> = [
    ['is killed', (fleet, name) => fleet.kill(name)],
    ['loses power', (fleet, name) => fleet.powerOff(name)],
    ['freezes', (fleet, name) => fleet.network.freezeHost(fleet.hostOf(name))],
    [
      'gets no reply from the store',
      ({store}, name) => (store.faults.silent as Set<string>).add(name),
    ],
    [
      'gets no reply from the store about the configuration',
      ({store}, name) => {
        store.faults.silentTables = new Set(['configuration']);
        (store.faults.silent as Set<string>).add(name);
      },
    ],
    [
      'is refused by the store',
      ({store}, name) => (store.faults.refused as Set<string>).add(name),
    ],
    [
      'is partitioned from its subscribers in one direction',
      ({network, names, hostOf}, name) =>
        network.partitionGroups([hostOf(name)], names.map(hostOf), 'one-way'),
    ],
  ];

  for (const [description, fail] of faults) {
    for (const count of [1, 2]) {
      test(`delays no change beyond its staleness bound: ${count} of two ${description}`, () => {
        for (const seed of SEEDS) {
          const fleet = startFleet(seed);
          const failed = fleet.distributors('centre-1').slice(0, count);
          failed.forEach(name => fail(fleet, name));
          const outdated = configureAndWait(fleet).filter(
            name => !failed.includes(name),
          );
          expect({seed, outdated}).toEqual({seed, outdated: []});
        }
      });
    }
  }

  test('is replaced and becomes a subscriber after its return', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const before = fleet.distributors('centre-1');
      before.forEach(fleet.powerOff);
      fleet.timer.advance(2 * SETTLING_TIME_MS);
      before.forEach(fleet.start);
      fleet.timer.advance(SETTLING_TIME_MS);
      const after = fleet.distributors('centre-1');
      const kept = after.filter(name => before.includes(name));
      expect({seed, count: after.length, kept}).toEqual({
        seed,
        count: 2,
        kept: [],
      });
      expect(configureAndWait(fleet, 200)).toEqual([]);
      const names = (fleet.live('proxy-1') ?? []).map(({proxy}) => proxy);
      expect(names.sort()).toEqual([...fleet.names].sort());
    }
  });
});

describe('a proxy', () => {
  test('does not listen without an address for its peers', () => {
    const fleet = createFeedFleet({seed: 1, proxies: 1, dataCentres: 1});
    const transport = fleet.network.transportFor('10.1.0.1');
    const listened: string[] = [];
    const feed = createTableFeed({
      runtime: createRuntime({timer: fleet.timer, random: createRandom(1)}),
      store: fleet.store.clientOf('lone'),
      rowWriter: createRowWriter(fleet.store.clientOf('lone'), 'distributors'),
      transport: {
        ...transport,
        listen(address, accept) {
          listened.push(address);
          return transport.listen(address, accept);
        },
      },
      self: {
        proxy: 'lone',
        dataCentre: 'centre-0',
        region: '',
        address: '',
        relayAddress: '',
      },
      capacity: 1,
      seeds: [],
      distributorTable: 'distributors',
      tables: [],
      events: IGNORED_FEED_EVENTS,
    });
    fleet.timer.advance(SECOND_MS);
    feed.close();
    expect(listened).toEqual([]);
  });

  test('claims no slot and follows the store while it is partitioned from all others', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const before = fleet.distributors('centre-1');
      const lone = fleet.names.find(
        name =>
          fleet.dataCentreOf(name) === 'centre-1' && !before.includes(name),
      );
      const hosts = fleet.names.filter(name => name !== lone).map(fleet.hostOf);
      fleet.network.partitionGroups([fleet.hostOf(lone ?? '')], hosts);
      const outdated = configureAndWait(
        fleet,
        PROPAGATION_BOUND_MS + SECOND_MS,
      );
      fleet.timer.advance(20 * SECOND_MS);
      expect({seed, outdated, now: fleet.distributors('centre-1')}).toEqual({
        seed,
        outdated: [],
        now: before,
      });
    }
  });

  test('starts with the tables of its peers if the store refuses it', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const name = 'proxy-20';
      fleet.kill(name);
      (fleet.store.faults.refused as Set<string>).add(name);
      fleet.start(name);
      fleet.timer.advance(SECOND_MS);
      expect({seed, outdated: fleet.outdated()}).toEqual({seed, outdated: []});
      expect(configureAndWait(fleet, 200)).toEqual([]);
    }
  });

  test('is no longer listed after it stops and is listed again after it starts', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const isListed = (name: string) =>
        fleet.names.filter(other =>
          fleet.live(other)?.some(({proxy}) => proxy === name),
        ).length;
      fleet.powerOff('proxy-20');
      fleet.timer.advance(SETTLING_TIME_MS);
      const afterLoss = isListed('proxy-20');
      fleet.start('proxy-20');
      fleet.timer.advance(PROPAGATION_BOUND_MS);
      expect({seed, afterLoss, afterStart: isListed('proxy-20')}).toEqual({
        seed,
        afterLoss: 0,
        afterStart: FLEET.proxies,
      });
    }
  });
});

describe('all proxies', () => {
  test('know how stale their tables may be', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const isAllAbove = (age: number) =>
        fleet.names.every(name => fleet.age(name) > age);
      const isAllWithin = (age: number) =>
        fleet.names.every(name => fleet.age(name) <= age);
      const isCalm = isAllWithin(PROPAGATION_BOUND_MS);
      fleet.store.faults.silentTables = new Set(['configuration']);
      fleet.store.faults.silent = 'all';
      fleet.timer.advance(PROPAGATION_BOUND_MS + SETTLING_TIME_MS);
      const isUnsure = isAllAbove(PROPAGATION_BOUND_MS);
      fleet.store.faults.silent = new Set();
      fleet.timer.advance(PROPAGATION_BOUND_AFTER_OUTAGE_MS);
      expect({
        seed,
        isCalm,
        isUnsure,
        isSure: isAllWithin(PROPAGATION_BOUND_MS),
      }).toEqual({
        seed,
        isCalm: true,
        isUnsure: true,
        isSure: true,
      });
    }
  });

  test('get the tables soon and with few store calls if they start together', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      fleet.names.forEach(fleet.kill);
      fleet.timer.advance(SECOND_MS);
      const before = fleet.store.calls();
      fleet.startAll(START_SPREAD_MS);
      fleet.timer.advance(150);
      const outdated = fleet.outdated();
      fleet.timer.advance(2 * SECOND_MS);
      const calls = fleet.store.calls() - before;
      expect({
        seed,
        outdated,
        isCheap: calls < 3 * LARGE_FLEET.proxies,
      }).toEqual({
        seed,
        outdated: [],
        isCheap: true,
      });
    }
  });

  test('keep their tables during a store outage and do not overload the store', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      fleet.store.faults.refused = 'all';
      fleet.timer.advance(SETTLING_TIME_MS);
      const calls = callsWithin(fleet, 10 * SECOND_MS) / 10;
      const known = fleet.live('proxy-1')?.length;
      fleet.store.faults.refused = new Set();
      const outdated = configureAndWait(fleet, 4 * SECOND_MS);
      expect({seed, known, outdated, isModest: calls < 160}).toEqual({
        seed,
        known: LARGE_FLEET.proxies,
        outdated: [],
        isModest: true,
      });
    }
  });
});
