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

/** Puts a manifest in force at the given proxies, by default at all. */
function commitManifest(
  cluster: Cluster,
  version: number,
  members: readonly MemberId[],
  proxies = [0, 1, 2],
): void {
  proxies.forEach(index => cluster.proxy(index).takeManifest(version, members));
}

/** Joined member ids of the newest configuration in a member's log. */
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

/** Checks that consecutive configurations differ by exactly one member. */
function checkSingleChanges(cluster: Cluster, id: MemberId): void {
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

/** Checks that no confirmed record is lost and that writes continue. */
function checkFinalState(cluster: Cluster, members: readonly MemberId[]): void {
  cluster.timer.advance(2000);
  members.forEach(id => cluster.checkRecords(id));
  members.forEach(id => checkSingleChanges(cluster, id));
  const lastWrite = cluster.confirmed.at(-1)?.time ?? 0;
  expect(cluster.timer.now() - lastWrite < 100).toEqual(true);
}

describe('a proxy that missed two manifests', () => {
  test('cannot form a second majority with outdated members', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      cluster.proxy(1).view.requestSwitchOver('c');
      cluster.timer.advance(1000);
      cluster.startMember('d');
      commitManifest(cluster, 2, ['a', 'b', 'c', 'd'], [1, 2]);
      cluster.timer.advance(3000);
      commitManifest(cluster, 3, ['b', 'c', 'd'], [1, 2]);
      cluster.timer.advance(3000);
      cluster.network.partitionGroups(
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

  test('finds members that its manifest lacks and reverts no change', () => {
    const cluster = startWriting(1);
    cluster.startMember('d');
    commitManifest(cluster, 2, ['a', 'b', 'c', 'd'], [1, 2]);
    awaitConfiguration(cluster, 'abcd', ['a', 'b', 'c', 'd']);
    commitManifest(cluster, 3, ['b', 'c', 'd'], [1, 2]);
    awaitConfiguration(cluster, 'bcd', ['b', 'c', 'd']);
    cluster.proxy(1).view.requestSwitchOver('d');
    cluster.settle(() => cluster.proxy(0).view.leadership()?.primary === 'd');
    const before = cluster.confirmed.length;
    cluster.timer.advance(3000);
    expect(cluster.confirmed.length > before + 300).toEqual(true);
    expect(configurationAt(cluster, 'd')).toEqual('bcd');
    expect(cluster.awaitPrimary(0)).toEqual('d');
    checkFinalState(cluster, ['b', 'c', 'd']);
  });
});

describe('members of a group', () => {
  test('are replaced one by one during writes and a primary outage', () => {
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
        commitManifest(cluster, ++version, (members = [...members, joiner]));
        awaitConfiguration(cluster, members.join(''), members);
        if (joiner === 'e') {
          const killed = cluster.awaitPrimary(1);
          cluster.network.killHost(MEMBER_HOSTS[killed]);
          cluster.timer.advance(300);
          cluster.startMember(killed);
        }
        members = members.filter(id => id !== old);
        commitManifest(cluster, ++version, members);
        awaitConfiguration(cluster, members.join(''), members);
        cluster.network.removeHost(MEMBER_HOSTS[old]);
      }
      expect(members).toEqual(['d', 'e', 'f']);
      checkFinalState(cluster, members);
      expect(cluster.gapSince(500) < 2500).toEqual(true);
    }
  });

  test('join only after catching up, even if one is removed meanwhile', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const primary = cluster.awaitPrimary();
      cluster.writeMany(primary, cluster.termOf(), 3000);
      cluster.timer.advance(500);
      cluster.startMember('d');
      cluster.control('d').configure({lag: 1500});
      commitManifest(cluster, 2, ['a', 'b', 'c', 'd']);
      cluster.timer.advance(1000);
      expect(configurationAt(cluster, primary)).toEqual('abc');
      cluster.network.removeHost(MEMBER_HOSTS.d);
      commitManifest(cluster, 3, ['b', 'c', 'd']);
      cluster.timer.advance(2000);
      expect(configurationAt(cluster, 'b')).toEqual('abc');
      expect(cluster.gapSince(500) < 1000).toEqual(true);
      cluster.startMember('d');
      awaitConfiguration(cluster, 'bcd', ['b', 'c', 'd']);
      checkFinalState(cluster, ['b', 'c', 'd']);
    }
  });

  test('are changed one at a time by concurrent failure detectors', () => {
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
      commitManifest(cluster, 2, ['a', 'b', 'c', 'd', 'e']);
      cluster.settle(() =>
        wanted.every(id => configurationAt(cluster, id).length === 5),
      );
      checkFinalState(cluster, wanted);
    }
  });

  test('stay consistent if the primary fails with an unconfirmed change', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const primary = cluster.awaitPrimary();
      const others = MEMBERS.filter(id => id !== primary);
      cluster.startMember('d');
      commitManifest(cluster, 2, ['a', 'b', 'c', 'd']);
      // The primary writes the configuration but can't replicate it.
      cluster.settle(() => cluster.control('d').status().end.position > 0);
      cluster.settle(() => {
        const isWritten = configurationAt(cluster, primary) === 'abcd';
        if (isWritten) {
          cluster.network.partitionGroups(
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
      checkFinalState(cluster, ['a', 'b', 'c', 'd']);
    }
  });

  test('stay consistent if the primary fails with a confirmed change', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      const primary = cluster.awaitPrimary();
      const others = MEMBERS.filter(id => id !== primary);
      cluster.startMember('d');
      commitManifest(cluster, 2, ['a', 'b', 'c', 'd']);
      cluster.settle(() =>
        others.every(id => configurationAt(cluster, id) === 'abcd'),
      );
      cluster.network.killHost(MEMBER_HOSTS[primary]);
      const next = cluster.awaitPrimary(1, cluster.termOf(1));
      commitManifest(cluster, 3, [...others, 'd']);
      awaitConfiguration(cluster, [...others, 'd'].join(''), [next]);
      checkFinalState(cluster, [...others, 'd']);
    }
  });

  test('cannot confirm records once they are removed', () => {
    for (const seed of SEEDS) {
      const cluster = startWriting(seed);
      cluster.proxy(1).view.requestSwitchOver('a');
      cluster.timer.advance(1000);
      cluster.startMember('d');
      commitManifest(cluster, 2, ['a', 'b', 'c', 'd']);
      awaitConfiguration(cluster, 'abcd', ['a', 'b', 'c', 'd']);
      // The partitioned primary and proxy don't learn of its removal.
      cluster.network.partitionGroups(
        [MEMBER_HOSTS.a, proxyHost(0)],
        [...hostsOf(['b', 'c', 'd']), proxyHost(1), proxyHost(2)],
      );
      commitManifest(cluster, 3, ['b', 'c', 'd'], [1, 2]);
      awaitConfiguration(cluster, 'bcd', ['b', 'c', 'd']);
      expect(cluster.control('a').status().role).toEqual('primary');
      const before = cluster.confirmed.length;
      cluster.timer.advance(1000);
      expect(cluster.confirmed.length > before).toEqual(true);
      cluster.network.healAll();
      cluster.timer.advance(3000);
      expect(configurationAt(cluster, 'b')).toEqual('bcd');
      checkFinalState(cluster, ['b', 'c', 'd']);
    }
  });
});
