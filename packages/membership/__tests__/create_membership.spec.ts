import {expect} from 'earl';
import {describe, test} from 'node:test';

import {FakeProxy, createFakeNetwork, liveIds} from './fake_network';

const DETECTION_LIMIT = 1000;

/** Eight proxies that have found each other. */
function createCluster(seed = 1) {
  const network = createFakeNetwork(seed);
  const proxies = network.addMany(8);
  network.timer.advance(2000);
  return {network, proxies, all: proxies.map(({address}) => address)};
}

function at(proxies: readonly FakeProxy[], index: number): FakeProxy {
  const proxy = proxies[index];
  if (proxy === undefined) {
    throw new Error(`no proxy ${index}`);
  }
  return proxy;
}

/** True if each of some proxies believes just these to be alive. */
function allSee(proxies: readonly FakeProxy[], ids: readonly string[]) {
  const wanted = [...ids].sort().join();
  return proxies.every(proxy => liveIds(proxy).join() === wanted);
}

describe('membership of eight proxies', () => {
  test('finds everybody from two seeds', () => {
    const {proxies, all} = createCluster();
    expect(proxies.map(liveIds)).toEqual(proxies.map(() => all));
    expect(proxies.every(each => each.membership.joined.isSettled())).toEqual(
      true,
    );
  });

  test('finds a killed, a frozen and a cut-off proxy dead within a second', () => {
    for (const loss of ['killed', 'frozen', 'cut'] as const) {
      for (let seed = 1; seed <= 20; seed++) {
        const {network, proxies, all} = createCluster(seed);
        const lost = at(proxies, seed % 8);
        if (loss === 'killed') {
          network.kill(lost);
        } else if (loss === 'frozen') {
          network.freeze(lost);
        } else {
          network.state.isCut = (from, to) =>
            from === lost.address || to === lost.address;
        }
        const others = proxies.filter(proxy => proxy !== lost);
        const rest = all.filter(id => id !== lost.address);
        const seen = network.timer.runUntil(
          () => allSee(others, rest),
          DETECTION_LIMIT,
        );
        expect([loss, seed, seen]).toEqual([loss, seed, true]);
      }
    }
  });

  test('keeps a proxy that one other cannot reach', () => {
    const {network, proxies, all} = createCluster();
    network.state.isCut = (from, to) =>
      [from, to].includes('p1') && [from, to].includes('p2');
    for (let step = 0; step < 300; step++) {
      network.timer.advance(100);
      expect([step, allSee(proxies, all)]).toEqual([step, true]);
    }
  });

  test('splits with the network and joins again when it heals', () => {
    const {network, proxies, all} = createCluster();
    const east = new Set(['p0', 'p3', 'p6']);
    network.state.isCut = (from, to) => east.has(from) !== east.has(to);
    network.timer.advance(5000);
    const eastern = proxies.filter(({address}) => east.has(address));
    const others = proxies.filter(({address}) => !east.has(address));
    expect(allSee(eastern, [...east])).toEqual(true);
    expect(
      allSee(
        others,
        all.filter(id => !east.has(id)),
      ),
    ).toEqual(true);
    network.state.isCut = () => false;
    expect(network.timer.runUntil(() => allSee(proxies, all), 5000)).toEqual(
      true,
    );
  });

  test('takes back a proxy that was frozen and resumes', () => {
    const {network, proxies, all} = createCluster();
    const frozen = at(proxies, 5);
    network.freeze(frozen);
    network.timer.advance(3000);
    expect(liveIds(at(proxies, 0)).includes('p5')).toEqual(false);
    network.thaw(frozen);
    expect(network.timer.runUntil(() => allSee(proxies, all), 5000)).toEqual(
      true,
    );
  });

  test('replaces a process by its successor at the same address', () => {
    const {network, proxies, all} = createCluster();
    network.kill(at(proxies, 4));
    const successor = network.add('p4', 'west', ['p0', 'p1']);
    network.timer.advance(1500);
    const now = proxies.map((proxy, index) =>
      index === 4 ? successor : proxy,
    );
    expect(allSee(now, all)).toEqual(true);
    const seen = at(proxies, 0).membership.liveProxies();
    const incarnations = seen
      .filter(({proxy}) => proxy === 'p4')
      .map(({incarnation}) => incarnation);
    expect(incarnations).toEqual([successor.membership.self.incarnation]);
  });

  test('gives a stopping proxy no responsibility, by itself or by the list', () => {
    const {network, proxies} = createCluster();
    at(proxies, 3).membership.leave();
    at(proxies, 0).membership.noteInstances([
      ...[
        {id: 'p6', address: 'p6'},
        {id: 'p7', address: 'elsewhere'},
      ].map(named => ({
        ...named,
        role: 'proxy' as const,
        dataCentre: 'east',
        state: 'leaving' as const,
      })),
    ]);
    network.timer.advance(300);
    const rest = ['p0', 'p1', 'p2', 'p4', 'p5', 'p7'];
    expect(allSee(proxies, rest)).toEqual(true);
    network.timer.advance(10_000);
    expect(allSee(proxies, rest)).toEqual(true);
  });

  test('never takes a listed instance for alive before it answers', () => {
    const {network, proxies, all} = createCluster();
    at(proxies, 0).membership.noteInstances([
      {
        id: 'gone',
        role: 'proxy',
        address: 'nowhere',
        dataCentre: 'east',
        state: 'live',
      },
    ]);
    network.timer.advance(5000);
    expect(allSee(proxies, all)).toEqual(true);
  });

  test('finds a proxy without seeds through the platform list', () => {
    const {network, proxies, all} = createCluster();
    const ninth = network.add('p8', 'east', []);
    at(proxies, 0).membership.noteInstances([
      {
        id: 'p8',
        role: 'proxy',
        address: 'p8',
        dataCentre: 'east',
        state: 'live',
      },
    ]);
    network.timer.advance(3000);
    expect(allSee([...proxies, ninth], [...all, 'p8'])).toEqual(true);
  });

  test('carries leaderships, leaving targets and manifest versions', () => {
    const {network, proxies} = createCluster();
    const leadership = {group: 'g', term: 65_537, primary: 'g-2'};
    const target = {id: 'g-1', address: '10.0.0.1:1'};
    const first = at(proxies, 0);
    first.leaderships.set('g', leadership);
    first.membership.announceLeadership(leadership);
    first.membership.noteInstances([
      {...target, role: 'target', dataCentre: 'east', state: 'leaving'},
    ]);
    first.manifestVersion = 7;
    first.membership.spread();
    network.timer.advance(200);
    for (const {leaderships, membership} of proxies) {
      expect(leaderships.get('g')).toEqual(leadership);
      expect(membership.isTargetLeaving(target)).toEqual(true);
    }
    const heard = proxies
      .slice(1)
      .filter(each => each.heardManifests.includes(7));
    expect(heard.length).toBeGreaterThan(2);
    network.timer.advance(120_000);
    expect(first.membership.isTargetLeaving(target)).toEqual(false);
  });
});
