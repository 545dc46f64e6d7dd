import {expect} from 'earl';
import {describe, test} from 'node:test';

import {proportionalWatchPace} from '..';
import {
  MEMBER_HOSTS,
  MEMBERS,
  MemberId,
  createCluster,
  proxyHost,
} from './cluster';

const SEEDS = [1, 2, 3];
/** Time for a change of primary in a large system. */
const LARGE_LIMIT = 6000;
/** A broken connection tells at once, at any pace. */
const KILLED_LIMIT = 1500;
const LARGE = 5667;
const UNUSED_LONG_ENOUGH = 30_000;
const AFTERWARDS = 60_000;

type Cluster = ReturnType<typeof createCluster>;

/** A group that has been watched, not used, for a while. */
function startWatching(seed: number): {cluster: Cluster; primary: MemberId} {
  const cluster = createCluster({seed, groupCount: LARGE});
  const primary = cluster.awaitPrimary();
  cluster.timer.advance(UNUSED_LONG_ENOUGH);
  return {cluster, primary};
}

/** Loses the primary at different moments between two questions. */
function checkReplaced(
  limit: number,
  lose: (cluster: Cluster, primary: MemberId) => void,
): void {
  for (const seed of SEEDS) {
    const {cluster, primary} = startWatching(seed);
    cluster.timer.advance(seed * 700);
    const term = cluster.termOf();
    const before = cluster.timer.now();
    const changesBefore = countChanges(cluster);
    lose(cluster, primary);
    cluster.settle(() => isReplaced(cluster, primary, term));
    expect(cluster.timer.now() - before).toBeLessThan(limit);
    // What the other watchers knew is old by now; they must not act on it.
    cluster.timer.advance(AFTERWARDS);
    expect(countChanges(cluster) - changesBefore).toEqual(1);
  }
}

function countChanges(cluster: Cluster): number {
  return cluster.proxies.reduce((sum, {changes}) => sum + changes.length, 0);
}

/** True once another member leads and a majority follows it. */
function isReplaced(cluster: Cluster, lost: MemberId, term: number): boolean {
  const statuses = MEMBERS.filter(id => id !== lost).map(id =>
    cluster.control(id).status(),
  );
  return (
    statuses.some(status => status.role === 'primary' && status.term > term) &&
    statuses.every(status => status.term > term)
  );
}

describe('the pace of watchers', () => {
  test('follows streams in a small system', () => {
    expect(proportionalWatchPace(64, 0)).toEqual(undefined);
  });

  test('grows with the groups up to its longest', () => {
    const periods = [100, 1000, 3000, LARGE].map(
      groups => proportionalWatchPace(groups, 0)?.primary ?? 0,
    );
    expect(periods).toEqual([...periods].sort((a, b) => a - b));
    expect(periods[2]).toEqual(periods[3]);
  });
});

describe('a group of a large system that is only watched', () => {
  test('gets no stream of records', () => {
    const {cluster, primary} = startWatching(1);
    const view = cluster.proxy(0).view;
    const end = () =>
      view.members().find(({member}) => member.id === primary)?.end;
    const before = end();
    cluster.writeMany(primary, cluster.termOf(), 50);
    cluster.timer.advance(200);
    expect(cluster.control(primary).status().end.position).toBeGreaterThan(
      (before?.position ?? 0) + 40,
    );
    expect(end()).toEqual(before);
  });

  test('gets streams again at once when it is used', () => {
    const {cluster, primary} = startWatching(1);
    const view = cluster.proxy(0).view;
    view.touch();
    cluster.timer.advance(100);
    cluster.writeMany(primary, cluster.termOf(), 50);
    cluster.timer.advance(200);
    const seen = view.members().find(({member}) => member.id === primary)?.end;
    expect(seen).toEqual(cluster.control(primary).status().end);
  });

  test('gets another primary at once when its process ends', () => {
    checkReplaced(KILLED_LIMIT, (cluster, primary) =>
      cluster.network.killHost(MEMBER_HOSTS[primary]),
    );
  });

  test('gets another primary within 6 s when its process freezes', () => {
    checkReplaced(LARGE_LIMIT, (cluster, primary) =>
      cluster.network.freezeHost(MEMBER_HOSTS[primary]),
    );
  });

  test('gets another primary within 6 s when its host vanishes with the first watcher', () => {
    checkReplaced(LARGE_LIMIT, (cluster, primary) => {
      cluster.network.killHost(proxyHost(0));
      cluster.network.removeHost(MEMBER_HOSTS[primary]);
    });
  });

  test('gets another primary within 6 s when its replicas lose it', () => {
    checkReplaced(LARGE_LIMIT, (cluster, primary) => {
      const others = MEMBERS.filter(id => id !== primary);
      cluster.network.cutGroups(
        [MEMBER_HOSTS[primary]],
        others.map(id => MEMBER_HOSTS[id]),
      );
    });
  });
});
