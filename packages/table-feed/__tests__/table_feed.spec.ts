import {createRandom, createRuntime} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {IGNORED_FEED_EVENTS, createTableFeed} from '..';
import {type FeedFleet, createFeedFleet} from './feed_fleet';

const SEEDS = [1, 2, 3];
const DATA_CENTRES = 6;
const FLEET = {proxies: 60, dataCentres: DATA_CENTRES};
const LARGE_FLEET = {proxies: 195, dataCentres: DATA_CENTRES};
const START_TIME = 300;
/** After it all proxies know their distributors. */
const SETTLED = 5000;
/** In which a configuration is to be in force everywhere. */
const IN_FORCE = 3000;
/** The same after the store was away, counted from its return. */
const IN_FORCE_AFTER_RETURN = 4000;
const SECOND = 1000;

function startFleet(seed: number, size = FLEET): FeedFleet {
  const fleet = createFeedFleet({seed, ...size});
  fleet.startAll(START_TIME);
  fleet.timer.advance(SETTLED);
  return fleet;
}

/** Commits a configuration; gives who lacks it when the bound has passed. */
function configureAndWait(fleet: FeedFleet, wait = IN_FORCE): string[] {
  fleet.configure();
  fleet.timer.advance(wait);
  return fleet.outdated();
}

function callsWithin(fleet: FeedFleet, duration: number): number {
  const before = fleet.store.calls();
  fleet.timer.advance(duration);
  return fleet.store.calls() - before;
}

function centresOf(fleet: FeedFleet): string[] {
  return [...new Set(fleet.names.map(fleet.dataCentreOf))];
}

describe('the tables of many proxies', () => {
  test('cost the store calls by data centre, not by proxy', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      const slots = centresOf(fleet).map(
        centre => fleet.distributors(centre).length,
      );
      const calm = callsWithin(fleet, 10 * SECOND) / 10;
      fleet.configure();
      const perChange = callsWithin(fleet, SECOND) - calm;
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

  test('cost no more with a thousand proxies', () => {
    const fleet = startFleet(1, {...LARGE_FLEET, proxies: 1000});
    const calm = callsWithin(fleet, 10 * SECOND) / 10;
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
      expect(fleet.backward()).toEqual(0);
    }
  });

  test('come without a gap, whoever subscribes when', () => {
    for (const seed of SEEDS) {
      const fleet = createFeedFleet({seed, ...LARGE_FLEET});
      fleet.startAll(START_TIME);
      for (let step = 0; step < 40; step++) {
        fleet.configure();
        fleet.timer.advance(25);
      }
      fleet.names.slice(0, 60).forEach(fleet.kill);
      fleet.names.slice(0, 60).forEach(fleet.start);
      fleet.timer.advance(SECOND);
      expect({seed, gaps: fleet.gaps()}).toEqual({seed, gaps: 0});
    }
  });

  test('tell of rows that are removed, and of those that can not be read', () => {
    const fleet = startFleet(1);
    fleet.putForeign();
    fleet.timer.advance(SECOND);
    expect(fleet.knowForeign().length).toEqual(FLEET.proxies);
    fleet.removeForeign();
    fleet.timer.advance(SECOND);
    expect(fleet.knowForeign()).toEqual([]);
    expect(configureAndWait(fleet, 200)).toEqual([]);
  });

  test('go on when the store has forgotten the changes', () => {
    const fleet = startFleet(1);
    fleet.store.compact();
    expect(configureAndWait(fleet)).toEqual([]);
  });
});

describe('connections to the store that fall silent', () => {
  const PHASES = [0, 700, 1400, 2100, 2800, 3500, 4200, 4900];

  test('delay no change beyond its bound', () => {
    for (const phase of PHASES) {
      const fleet = startFleet(1);
      fleet.timer.advance(phase);
      fleet.store.loseOpenQuestions();
      expect({phase, outdated: configureAndWait(fleet)}).toEqual({
        phase,
        outdated: [],
      });
    }
  });

  test('and the store with them delay no change long after its return', () => {
    for (const silence of [700, 2800, 5600, 7000, 9800]) {
      const fleet = startFleet(2);
      fleet.store.faults.silent = 'all';
      fleet.timer.advance(silence);
      fleet.store.faults.silent = new Set();
      const outdated = configureAndWait(fleet, IN_FORCE_AFTER_RETURN);
      expect({silence, outdated}).toEqual({silence, outdated: []});
    }
  });
});

describe('a distributor that fails', () => {
  const faults: Array<[string, (fleet: FeedFleet, name: string) => void]> = [
    ['is killed', (fleet, name) => fleet.kill(name)],
    ['loses power', (fleet, name) => fleet.cutPower(name)],
    ['freezes', (fleet, name) => fleet.network.freezeHost(fleet.hostOf(name))],
    [
      'gets no answer of the store',
      ({store}, name) => (store.faults.silent as Set<string>).add(name),
    ],
    [
      'gets no answer of the store about the configuration',
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
      'is cut off from its subscribers one way',
      ({network, names, hostOf}, name) =>
        network.cutGroups([hostOf(name)], names.map(hostOf), 'one-way'),
    ],
  ];

  for (const [description, fail] of faults) {
    for (const count of [1, 2]) {
      test(`delays no change beyond its bound: ${count} of two ${description}`, () => {
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

  test('is replaced, and takes its place as a subscriber when it is back', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const before = fleet.distributors('centre-1');
      before.forEach(fleet.cutPower);
      fleet.timer.advance(2 * SETTLED);
      before.forEach(fleet.start);
      fleet.timer.advance(SETTLED);
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
  test('without an address for others listens nowhere', () => {
    const fleet = createFeedFleet({seed: 1, proxies: 1, dataCentres: 1});
    const transport = fleet.network.transportFor('10.1.0.1');
    const listened: string[] = [];
    const feed = createTableFeed({
      runtime: createRuntime({timer: fleet.timer, random: createRandom(1)}),
      store: fleet.store.clientOf('lone'),
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
    fleet.timer.advance(SECOND);
    feed.close();
    expect(listened).toEqual([]);
  });

  test('that is cut off from all others takes no slot and asks the store', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const before = fleet.distributors('centre-1');
      const lone = fleet.names.find(
        name =>
          fleet.dataCentreOf(name) === 'centre-1' && !before.includes(name),
      );
      const hosts = fleet.names.filter(name => name !== lone).map(fleet.hostOf);
      fleet.network.cutGroups([fleet.hostOf(lone ?? '')], hosts);
      const outdated = configureAndWait(fleet, IN_FORCE + SECOND);
      fleet.timer.advance(20 * SECOND);
      expect({seed, outdated, now: fleet.distributors('centre-1')}).toEqual({
        seed,
        outdated: [],
        now: before,
      });
    }
  });

  test('that the store refuses starts with what others know', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const name = 'proxy-20';
      fleet.kill(name);
      (fleet.store.faults.refused as Set<string>).add(name);
      fleet.start(name);
      fleet.timer.advance(SECOND);
      expect({seed, outdated: fleet.outdated()}).toEqual({seed, outdated: []});
      expect(configureAndWait(fleet, 200)).toEqual([]);
    }
  });

  test('that is gone is known as gone, and a new one as running', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const isListed = (name: string) =>
        fleet.names.filter(other =>
          fleet.live(other)?.some(({proxy}) => proxy === name),
        ).length;
      fleet.cutPower('proxy-20');
      fleet.timer.advance(SETTLED);
      const afterLoss = isListed('proxy-20');
      fleet.start('proxy-20');
      fleet.timer.advance(IN_FORCE);
      expect({seed, afterLoss, afterStart: isListed('proxy-20')}).toEqual({
        seed,
        afterLoss: 0,
        afterStart: FLEET.proxies,
      });
    }
  });
});

describe('all proxies', () => {
  test('know how long a change may have escaped them', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed);
      const isAllAbove = (age: number) =>
        fleet.names.every(name => fleet.age(name) > age);
      const isAllWithin = (age: number) =>
        fleet.names.every(name => fleet.age(name) <= age);
      const isCalm = isAllWithin(IN_FORCE);
      fleet.store.faults.silentTables = new Set(['configuration']);
      fleet.store.faults.silent = 'all';
      fleet.timer.advance(IN_FORCE + SETTLED);
      const isUnsure = isAllAbove(IN_FORCE);
      fleet.store.faults.silent = new Set();
      fleet.timer.advance(IN_FORCE_AFTER_RETURN);
      expect({seed, isCalm, isUnsure, isSure: isAllWithin(IN_FORCE)}).toEqual({
        seed,
        isCalm: true,
        isUnsure: true,
        isSure: true,
      });
    }
  });

  test('that start at the same time have the tables soon and ask seldom', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      fleet.names.forEach(fleet.kill);
      fleet.timer.advance(SECOND);
      const before = fleet.store.calls();
      fleet.startAll(START_TIME);
      fleet.timer.advance(150);
      const outdated = fleet.outdated();
      fleet.timer.advance(2 * SECOND);
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

  test('go on while the store is away, and do not crowd it', () => {
    for (const seed of SEEDS) {
      const fleet = startFleet(seed, LARGE_FLEET);
      fleet.store.faults.refused = 'all';
      fleet.timer.advance(SETTLED);
      const calls = callsWithin(fleet, 10 * SECOND) / 10;
      const known = fleet.live('proxy-1')?.length;
      fleet.store.faults.refused = new Set();
      const outdated = configureAndWait(fleet, 4 * SECOND);
      expect({seed, known, outdated, isModest: calls < 160}).toEqual({
        seed,
        known: LARGE_FLEET.proxies,
        outdated: [],
        isModest: true,
      });
    }
  });
});
