import {expect} from 'earl';
import {describe, test} from 'node:test';

import {proportionalProbeIntervals} from '..';
import {
  MEMBERS,
  MEMBER_HOSTS,
  MemberId,
  createCluster,
  proxyHost,
} from './cluster';

const SEEDS = [1, 2, 3];
/** Longest accepted primary outage in a large system. */
const LARGE_SYSTEM_LIMIT_MS = 6000;
/**
 * Longest accepted outage after a primary is killed. Its broken connection is
 * noticed immediately, at any probe interval.
 */
const KILLED_LIMIT_MS = 1500;
const LARGE_GROUP_COUNT = 5667;
const UNUSED_TIME_MS = 30_000;
const OBSERVATION_TIME_MS = 60_000;

type Cluster = ReturnType<typeof createCluster>;

/** Starts a group that is monitored but has not been used for a while. */
function startMonitored(seed: number): {cluster: Cluster; primary: MemberId} {
  const cluster = createCluster({seed, groupCount: LARGE_GROUP_COUNT});
  const primary = cluster.awaitPrimary();
  cluster.timer.advance(UNUSED_TIME_MS);
  return {cluster, primary};
}

/**
 * Checks that a primary is replaced in time if it is lost at different times
 * between two status probes.
 */
function checkReplaced(
  limit: number,
  lose: (cluster: Cluster, primary: MemberId) => void,
): void {
  for (const seed of SEEDS) {
    const {cluster, primary} = startMonitored(seed);
    cluster.timer.advance(seed * 700);
    const term = cluster.termOf();
    const before = cluster.timer.now();
    const changesBefore = countChanges(cluster);
    lose(cluster, primary);
    cluster.settle(() => isReplaced(cluster, primary, term));
    expect(cluster.timer.now() - before).toBeLessThan(limit);
    // The other failure detectors must not act on their outdated state.
    cluster.timer.advance(OBSERVATION_TIME_MS);
    expect(countChanges(cluster) - changesBefore).toEqual(1);
  }
}

function countChanges(cluster: Cluster): number {
  return cluster.proxies.reduce((sum, {changes}) => sum + changes.length, 0);
}

/** True once another member is primary and a majority follows it. */
function isReplaced(cluster: Cluster, lost: MemberId, term: number): boolean {
  const statuses = MEMBERS.filter(id => id !== lost).map(id =>
    cluster.control(id).status(),
  );
  return (
    statuses.some(status => status.role === 'primary' && status.term > term) &&
    statuses.every(status => status.term > term)
  );
}

describe('the probe intervals', () => {
  test('are undefined in a small system, which uses streams', () => {
    expect(proportionalProbeIntervals(64, 0)).toEqual(undefined);
  });

  test('grow with the number of groups up to the longest', () => {
    const periods = [100, 1000, 3000, LARGE_GROUP_COUNT].map(
      groups => proportionalProbeIntervals(groups, 0)?.primary ?? 0,
    );
    expect(periods).toEqual([...periods].sort((a, b) => a - b));
    expect(periods[2]).toEqual(periods[3]);
  });
});

describe('an unused, monitored group of a large system', () => {
  test('is not streamed', () => {
    const {cluster, primary} = startMonitored(1);
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

  test('resumes its streams immediately when it is used', () => {
    const {cluster, primary} = startMonitored(1);
    const view = cluster.proxy(0).view;
    view.touch();
    cluster.timer.advance(100);
    cluster.writeMany(primary, cluster.termOf(), 50);
    cluster.timer.advance(200);
    const seen = view.members().find(({member}) => member.id === primary)?.end;
    expect(seen).toEqual(cluster.control(primary).status().end);
  });

  test('gets another primary within 1.5 s when its process is killed', () => {
    checkReplaced(KILLED_LIMIT_MS, (cluster, primary) =>
      cluster.network.killHost(MEMBER_HOSTS[primary]),
    );
  });

  test('gets another primary within 6 s when the primary freezes', () => {
    checkReplaced(LARGE_SYSTEM_LIMIT_MS, (cluster, primary) =>
      cluster.network.freezeHost(MEMBER_HOSTS[primary]),
    );
  });

  test('gets another primary within 6 s when its host and the first proxy are lost', () => {
    checkReplaced(LARGE_SYSTEM_LIMIT_MS, (cluster, primary) => {
      cluster.network.killHost(proxyHost(0));
      cluster.network.removeHost(MEMBER_HOSTS[primary]);
    });
  });

  test('gets another primary within 6 s when replicas lose contact with the old one', () => {
    checkReplaced(LARGE_SYSTEM_LIMIT_MS, (cluster, primary) => {
      const others = MEMBERS.filter(id => id !== primary);
      cluster.network.partitionGroups(
        [MEMBER_HOSTS[primary]],
        others.map(id => MEMBER_HOSTS[id]),
      );
    });
  });
});
