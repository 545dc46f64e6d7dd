import {expect} from 'earl';
import {describe, test} from 'node:test';

import {MEMBERS, createCluster} from './cluster';

describe('a group of empty members', () => {
  test('gets one primary and confirms writes', () => {
    for (const seed of [1, 2, 3]) {
      const cluster = createCluster({seed});
      const primary = cluster.awaitPrimary();
      cluster.startWriter(0);
      cluster.startWriter(1);
      cluster.timer.advance(2000);
      expect(cluster.confirmed.length > 100).toEqual(true);
      const changes = cluster.proxies.flatMap(proxy => proxy.changes);
      expect(changes.length).toEqual(1);
      expect(changes[0]?.primary).toEqual(primary);
      cluster.checkRecords(primary);
    }
  });

  test('has no primary while one of them is missing', () => {
    const cluster = createCluster({proxies: 1});
    cluster.network.killHost('10.0.0.3');
    cluster.timer.advance(5000);
    expect(cluster.proxy(0).view.leadership()).toEqual(undefined);
    expect(MEMBERS.map(id => cluster.control(id).status().role)).toEqual([
      'replica',
      'replica',
      'replica',
    ]);
    cluster.startMember('c');
    cluster.awaitPrimary();
  });
});
