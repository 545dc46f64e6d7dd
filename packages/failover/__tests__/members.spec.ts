import {targetReconfigure} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  ClusterOptions,
  MEMBERS,
  MEMBER_HOSTS,
  MemberId,
  createCluster,
  proxyHost,
} from './cluster';

const SEEDS = [1, 2, 3, 4];

function hostsOf(ids: readonly MemberId[]): string[] {
  return ids.map(id => MEMBER_HOSTS[id]);
}

function startWriting(seed: number, options: ClusterOptions = {}) {
  const cluster = createCluster({seed, ...options});
  cluster.awaitPrimary();
  cluster.startWriter(0);
  cluster.startWriter(1);
  cluster.timer.advance(500);
  return cluster;
}

type Cluster = ReturnType<typeof startWriting>;

/** Puts a manifest in force at some proxies, at all by default. */
function commit(
  cluster: Cluster,
  version: number,
  members: readonly MemberId[],
  proxies = [0, 1, 2],
): void {
  proxies.forEach(index => cluster.proxy(index).takeManifest(version, members));
}

/** Ids of the newest configuration in a member's log. */
function configurationAt(cluster: Cluster, id: MemberId): string {
  const {configuration} = cluster.control(id).status();
  return (configuration?.members ?? []).map(member => member.id).join('');
}

function awaitConfiguration(
  cluster: Cluster,
  ids: string,
  members: readonly MemberId[],
): void {
  cluster.settle(() =>
    members.every(id => configurationAt(cluster, id) === ids),
  );
}

/** Each configuration of a log differs from the one before by one member. */
function checkChanges(cluster: Cluster, id: MemberId): void {
  const found = cluster
    .control(id)
    .records()
    .flatMap(({configuration}) =>
      configuration === undefined
        ? []
        : [configuration.members.map(member => member.id)],
    );
  found.slice(1).forEach((next, index) => {
    const before = found[index] ?? [];
    const kept = before.filter(each => next.includes(each)).length;
    expect(before.length + next.length - 2 * kept).toEqual(1);
  });
}

/** After all came to rest: nothing lost, and writes go on. */
function checkEnd(cluster: Cluster, members: readonly MemberId[]): void {
  cluster.timer.advance(2000);
  members.forEach(id => cluster.checkRecords(id));
  members.forEach(id => checkChanges(cluster, id));
  const lastWrite = cluster.confirmed.at(-1)?.time ?? 0;
  expect(cluster.timer.now() - lastWrite < 100).toEqual(true);
}

describe('a proxy that missed two manifests', () => {
  test('makes no majority beside that of the newest', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      cluster.proxy(1).view.orderSwitchOver('c');
      cluster.timer.advance(1000);
      cluster.startMember('d');
      commit(cluster, 2, ['a', 'b', 'c', 'd'], [1, 2]);
      cluster.timer.advance(3000);
      commit(cluster, 3, ['b', 'c', 'd'], [1, 2]);
      cluster.timer.advance(3000);
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

  test('finds members it was not told of, and undoes no change', () => {
    const cluster = startWriting(1);
    cluster.startMember('d');
    commit(cluster, 2, ['a', 'b', 'c', 'd'], [1, 2]);
    awaitConfiguration(cluster, 'abcd', ['a', 'b', 'c', 'd']);
    commit(cluster, 3, ['b', 'c', 'd'], [1, 2]);
    awaitConfiguration(cluster, 'bcd', ['b', 'c', 'd']);
    cluster.proxy(1).view.orderSwitchOver('d');
    cluster.settle(() => cluster.proxy(0).view.leadership()?.primary === 'd');
    const before = cluster.confirmed.length;
    cluster.timer.advance(3000);
    expect(cluster.confirmed.length > before + 300).toEqual(true);
    expect(configurationAt(cluster, 'd')).toEqual('bcd');
    expect(cluster.awaitPrimary(0)).toEqual('d');
    checkEnd(cluster, ['b', 'c', 'd']);
  });
});

describe('members of a group', () => {
  test('are replaced one after another under writes, with a kill', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const joins: ReadonlyArray<[MemberId, MemberId]> = [
        ['a', 'd'],
        ['b', 'e'],
        ['c', 'f'],
      ];
      let members: MemberId[] = [...MEMBERS];
      let version = 1;
      for (const [old, joiner] of joins) {
        cluster.startMember(joiner);
        commit(cluster, ++version, (members = [...members, joiner]));
        awaitConfiguration(cluster, members.join(''), members);
        if (joiner === 'e') {
          const killed = cluster.awaitPrimary(1);
          cluster.network.killHost(MEMBER_HOSTS[killed]);
          cluster.timer.advance(300);
          cluster.startMember(killed);
        }
        members = members.filter(id => id !== old);
        commit(cluster, ++version, members);
        awaitConfiguration(cluster, members.join(''), members);
        cluster.network.removeHost(MEMBER_HOSTS[old]);
      }
      expect(members).toEqual(['d', 'e', 'f']);
      checkEnd(cluster, members);
      expect(cluster.gapSince(500) < 2500).toEqual(true);
    }
  });

  test('count only once they have caught up, also if one dies before', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const primary = cluster.awaitPrimary();
      cluster.writeMany(primary, cluster.termOf(), 3000);
      cluster.timer.advance(500);
      cluster.startMember('d');
      cluster.control('d').configure({lag: 1500});
      commit(cluster, 2, ['a', 'b', 'c', 'd']);
      cluster.timer.advance(1000);
      expect(configurationAt(cluster, primary)).toEqual('abc');
      cluster.network.removeHost(MEMBER_HOSTS.d);
      commit(cluster, 3, ['b', 'c', 'd']);
      cluster.timer.advance(2000);
      expect(configurationAt(cluster, 'b')).toEqual('abc');
      expect(cluster.gapSince(500) < 1000).toEqual(true);
      cluster.startMember('d');
      awaitConfiguration(cluster, 'bcd', ['b', 'c', 'd']);
      checkEnd(cluster, ['b', 'c', 'd']);
    }
  });

  test('are changed one at a time by watchers that act at once', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed, {timings: {rankDelay: 0}});
      cluster.startMember('d');
      cluster.startMember('e');
      const wanted: MemberId[] = ['a', 'b', 'c', 'd', 'e'];
      cluster.network.delayMessages(
        ({method, isAnswer}) => method === targetReconfigure.name && !isAnswer,
        40,
        4,
      );
      commit(cluster, 2, ['a', 'b', 'c', 'd', 'e']);
      cluster.settle(() =>
        wanted.every(id => configurationAt(cluster, id).length === 5),
      );
      checkEnd(cluster, wanted);
    }
  });

  test('stay consistent if the primary dies with an unconfirmed change', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const primary = cluster.awaitPrimary();
      const others = MEMBERS.filter(id => id !== primary);
      cluster.startMember('d');
      commit(cluster, 2, ['a', 'b', 'c', 'd']);
      // The primary writes the configuration but sends it to nobody.
      cluster.settle(() => cluster.control('d').status().end.position > 0);
      cluster.settle(() => {
        const isWritten = configurationAt(cluster, primary) === 'abcd';
        if (isWritten) {
          cluster.network.cutGroups(
            [MEMBER_HOSTS[primary]],
            hostsOf([...others, 'd']),
          );
        }
        return isWritten;
      });
      others.forEach(id => expect(configurationAt(cluster, id)).toEqual('abc'));
      cluster.network.freezeHost(MEMBER_HOSTS[primary]);
      cluster.awaitPrimary(1, cluster.termOf(1));
      awaitConfiguration(cluster, 'abcd', [...others, 'd']);
      cluster.network.healAll();
      cluster.network.thawHost(MEMBER_HOSTS[primary]);
      awaitConfiguration(cluster, 'abcd', [primary]);
      checkEnd(cluster, ['a', 'b', 'c', 'd']);
    }
  });

  test('stay consistent if the primary dies with a confirmed change', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const primary = cluster.awaitPrimary();
      const others = MEMBERS.filter(id => id !== primary);
      cluster.startMember('d');
      commit(cluster, 2, ['a', 'b', 'c', 'd']);
      cluster.settle(() =>
        others.every(id => configurationAt(cluster, id) === 'abcd'),
      );
      cluster.network.killHost(MEMBER_HOSTS[primary]);
      const next = cluster.awaitPrimary(1, cluster.termOf(1));
      commit(cluster, 3, [...others, 'd']);
      awaitConfiguration(cluster, [...others, 'd'].join(''), [next]);
      checkEnd(cluster, [...others, 'd']);
    }
  });

  test('can do no harm once they are removed', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      cluster.proxy(1).view.orderSwitchOver('a');
      cluster.timer.advance(1000);
      cluster.startMember('d');
      commit(cluster, 2, ['a', 'b', 'c', 'd']);
      awaitConfiguration(cluster, 'abcd', ['a', 'b', 'c', 'd']);
      // The primary and a proxy miss how it is replaced and removed.
      cluster.network.cutGroups(
        [MEMBER_HOSTS.a, proxyHost(0)],
        [...hostsOf(['b', 'c', 'd']), proxyHost(1), proxyHost(2)],
      );
      commit(cluster, 3, ['b', 'c', 'd'], [1, 2]);
      awaitConfiguration(cluster, 'bcd', ['b', 'c', 'd']);
      expect(cluster.control('a').status().role).toEqual('primary');
      const before = cluster.confirmed.length;
      cluster.timer.advance(1000);
      expect(cluster.confirmed.length > before).toEqual(true);
      cluster.network.healAll();
      cluster.timer.advance(3000);
      expect(configurationAt(cluster, 'b')).toEqual('bcd');
      checkEnd(cluster, ['b', 'c', 'd']);
    }
  });
});
