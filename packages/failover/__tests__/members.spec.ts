import {expect} from 'earl';
import {describe, test} from 'node:test';

import {MEMBER_HOSTS, MemberId, createCluster, proxyHost} from './cluster';

const SEEDS = [1, 2, 3, 4];

function hostsOf(ids: readonly MemberId[]): string[] {
  return ids.map(id => MEMBER_HOSTS[id]);
}

function startWriting(seed: number) {
  const cluster = createCluster({seed});
  cluster.awaitPrimary();
  cluster.startWriter(0);
  cluster.startWriter(1);
  cluster.timer.advance(500);
  return cluster;
}

type Cluster = ReturnType<typeof startWriting>;

/** Puts a manifest in force at the proxies other than the first. */
function tellOthers(
  cluster: Cluster,
  version: number,
  members: readonly MemberId[],
): void {
  [1, 2].forEach(index => cluster.proxy(index).takeManifest(version, members));
  cluster.timer.advance(3000);
}

describe('a proxy that missed two manifests', () => {
  test('makes no majority beside that of the newest', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      cluster.proxy(1).view.orderSwitchOver('c');
      cluster.timer.advance(1000);
      cluster.startMember('d');
      tellOthers(cluster, 2, ['a', 'b', 'c', 'd']);
      tellOthers(cluster, 3, ['b', 'c', 'd']);
      cluster.network.cutGroups(
        [...hostsOf(['a', 'b']), proxyHost(0)],
        [...hostsOf(['c', 'd']), proxyHost(1), proxyHost(2)],
      );
      cluster.timer.advance(4000);
      cluster.network.healAll();
      cluster.timer.advance(4000);
      const last = cluster.awaitPrimary(1);
      cluster.checkRecords(last);
      expect(cluster.confirmed.length > 500).toEqual(true);
    }
  });
});
