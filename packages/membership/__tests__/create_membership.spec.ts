import {expect} from 'earl';
import {describe, test} from 'node:test';

import {FakeProxy, createFakeNetwork, liveIds} from './fake_network';

const DETECTION_TIMEOUT_MS = 1000;

/** Creates eight proxies that have discovered each other. */
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

/** True if each proxy considers exactly the proxies with these ids alive. */
function allConsiderLive(
  proxies: readonly FakeProxy[],
  ids: readonly string[],
) {
  const wanted = [...ids].sort().join();
  return proxies.every(proxy => liveIds(proxy).join() === wanted);
}

describe('membership of eight proxies', () => {
  test('discovers all proxies from two seeds', () => {
    const {proxies, all} = createCluster();
    expect(proxies.map(liveIds)).toEqual(proxies.map(() => all));
    expect(proxies.every(each => each.membership.joined.isSettled())).toEqual(
      true,
    );
  });

  test('detects a killed, frozen or partitioned proxy within a second', () => {
    for (const loss of ['killed', 'frozen', 'partitioned'] as const) {
      for (let seed = 1; seed <= 20; seed++) {
        const {network, proxies, all} = createCluster(seed);
        const lost = at(proxies, seed % 8);
        if (loss === 'killed') {
          network.kill(lost);
        } else if (loss === 'frozen') {
          network.freeze(lost);
        } else {
          network.state.isPartitioned = (from, to) =>
            from === lost.address || to === lost.address;
        }
        const others = proxies.filter(proxy => proxy !== lost);
        const rest = all.filter(id => id !== lost.address);
        const seen = network.timer.runUntil(
          () => allConsiderLive(others, rest),
          DETECTION_TIMEOUT_MS,
        );
        expect([loss, seed, seen]).toEqual([loss, seed, true]);
      }
    }
  });

  test('keeps a proxy that only one other proxy cannot reach', () => {
    const {network, proxies, all} = createCluster();
    network.state.isPartitioned = (from, to) =>
      [from, to].includes('p1') && [from, to].includes('p2');
    for (let step = 0; step < 300; step++) {
      network.timer.advance(100);
      expect([step, allConsiderLive(proxies, all)]).toEqual([step, true]);
    }
  });

  test('splits during a network partition and merges after it', () => {
    const {network, proxies, all} = createCluster();
    const east = new Set(['p0', 'p3', 'p6']);
    network.state.isPartitioned = (from, to) => east.has(from) !== east.has(to);
    network.timer.advance(5000);
    const eastern = proxies.filter(({address}) => east.has(address));
    const others = proxies.filter(({address}) => !east.has(address));
    expect(allConsiderLive(eastern, [...east])).toEqual(true);
    expect(
      allConsiderLive(
        others,
        all.filter(id => !east.has(id)),
      ),
    ).toEqual(true);
    network.state.isPartitioned = () => false;
    expect(
      network.timer.runUntil(() => allConsiderLive(proxies, all), 5000),
    ).toEqual(true);
  });

  test('includes a frozen proxy again after it resumes', () => {
    const {network, proxies, all} = createCluster();
    const frozen = at(proxies, 5);
    network.freeze(frozen);
    network.timer.advance(3000);
    expect(liveIds(at(proxies, 0)).includes('p5')).toEqual(false);
    network.thaw(frozen);
    expect(
      network.timer.runUntil(() => allConsiderLive(proxies, all), 5000),
    ).toEqual(true);
  });

  test('replaces a process by its successor at the same address', () => {
    const {network, proxies, all} = createCluster();
    network.kill(at(proxies, 4));
    const successor = network.add('p4', 'west', ['p0', 'p1']);
    network.timer.advance(1500);
    const now = proxies.map((proxy, index) =>
      index === 4 ? successor : proxy,
    );
    expect(allConsiderLive(now, all)).toEqual(true);
    const seen = at(proxies, 0).membership.liveProxies();
    const incarnations = seen
      .filter(({proxy}) => proxy === 'p4')
      .map(({incarnation}) => incarnation);
    expect(incarnations).toEqual([successor.membership.self.incarnation]);
  });

  test('excludes proxies that announce their stop or are listed as leaving', () => {
    const {network, proxies} = createCluster();
    at(proxies, 3).membership.leave();
    at(proxies, 0).membership.applyInstanceList([
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
    expect(allConsiderLive(proxies, rest)).toEqual(true);
    network.timer.advance(10_000);
    expect(allConsiderLive(proxies, rest)).toEqual(true);
  });

  test('does not consider a listed instance alive before it answers', () => {
    const {network, proxies, all} = createCluster();
    at(proxies, 0).membership.applyInstanceList([
      {
        id: 'gone',
        role: 'proxy',
        address: 'nowhere',
        dataCentre: 'east',
        state: 'live',
      },
    ]);
    network.timer.advance(5000);
    expect(allConsiderLive(proxies, all)).toEqual(true);
  });

  test('discovers a proxy without seeds through the platform list', () => {
    const {network, proxies, all} = createCluster();
    const ninth = network.add('p8', 'east', []);
    at(proxies, 0).membership.applyInstanceList([
      {
        id: 'p8',
        role: 'proxy',
        address: 'p8',
        dataCentre: 'east',
        state: 'live',
      },
    ]);
    network.timer.advance(3000);
    expect(allConsiderLive([...proxies, ninth], [...all, 'p8'])).toEqual(true);
  });

  test('distributes leaderships, leaving targets and manifest versions', () => {
    const {network, proxies} = createCluster();
    const leadership = {group: 'g', term: 65_537, primary: 'g-2'};
    const target = {id: 'g-1', address: '10.0.0.1:1'};
    const first = at(proxies, 0);
    first.leaderships.set('g', leadership);
    first.membership.announceLeadership(leadership);
    first.membership.applyInstanceList([
      {...target, role: 'target', dataCentre: 'east', state: 'leaving'},
    ]);
    first.manifestVersion = 7;
    first.membership.triggerExchanges();
    network.timer.advance(200);
    for (const {leaderships, membership} of proxies) {
      expect(leaderships.get('g')).toEqual(leadership);
      expect(membership.isTargetLeaving(target)).toEqual(true);
    }
    const notified = proxies
      .slice(1)
      .filter(each => each.receivedManifestVersions.includes(7));
    expect(notified.length).toBeGreaterThan(2);
    network.timer.advance(120_000);
    expect(first.membership.isTargetLeaving(target)).toEqual(false);
  });
});
