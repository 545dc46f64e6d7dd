/**
 * Test cluster in virtual time: one group of three databases and several
 * proxies. Its writers collect confirmed records for checks of the logs.
 */
import type {Group} from '@kelpstep/manifest';
import {LogPosition, targetExecute} from '@kelpstep/protocol';
import {RpcPeer, createRpcPeer} from '@kelpstep/rpc';
import {
  Milliseconds,
  Runtime,
  Task,
  createRandom,
  createRuntime,
  createVirtualTimer,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {
  Database,
  DatabaseSettings,
  createDatabase,
  createFakeNetwork,
} from '@kelpstep/stand-ins';
import {expect} from 'earl';

import {
  FailoverTimings,
  LeadershipChange,
  ManagedGroupView,
  createGroupDirectory,
  promoterNumberOf,
} from '..';

const FIRST_MEMBERS = ['a', 'b', 'c'] as const;
/** Members that can be added to the group. */
export const JOINERS = ['d', 'e', 'f'] as const;
export type MemberId =
  (typeof FIRST_MEMBERS)[number] | (typeof JOINERS)[number];
/** Members of the first manifest. */
export const MEMBERS: readonly MemberId[] = FIRST_MEMBERS;

export const MEMBER_HOSTS: Record<MemberId, string> = {
  a: '10.0.0.1',
  b: '10.0.0.2',
  c: '10.0.0.3',
  d: '10.0.0.4',
  e: '10.0.0.5',
  f: '10.0.0.6',
};

/** Returns the manifest's description of the group with these members. */
export function groupOf(members: readonly MemberId[]): Group {
  return {
    name: 'g',
    readStaleness: 1000,
    members: members.map(id => ({
      id,
      dataCentre: `dc-${id}`,
      address: `${MEMBER_HOSTS[id]}:7000`,
      state: 'serving',
      slots: 3,
      connectionLimit: 50,
    })),
  };
}

/** Host of a proxy; its number is its rank among the failure detectors. */
export function proxyHost(proxy: number): string {
  return `10.0.1.${proxy}`;
}

export interface ClusterOptions {
  readonly seed?: number;
  readonly proxies?: number;
  /** Number of proxies with a failure detector, lowest first; 3 by default. */
  readonly detectorCount?: number;
  readonly settings?: Partial<DatabaseSettings>;
  readonly timings?: Partial<FailoverTimings>;
  /** Simulated number of groups in the manifest; 1 by default. */
  readonly groupCount?: number;
}

export interface TestProxy {
  readonly host: string;
  readonly view: ManagedGroupView;
  /** Changes of leadership that this proxy has carried out. */
  readonly changes: LeadershipChange[];
  /** Puts a version of the manifest in force at this proxy. */
  takeManifest(version: number, members: readonly MemberId[]): void;
}

/** A write whose confirmation is known. */
export interface ConfirmedWrite {
  readonly entry: string;
  readonly at: LogPosition;
  readonly time: Milliseconds;
}

const WRITE_INTERVAL_MS = 10;
const WRITE_TIMEOUT_MS = 400;

export function createCluster(options: ClusterOptions = {}) {
  const timer = createVirtualTimer();
  const random = createRandom(options.seed ?? 1);
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: () => 1,
    jitter: 0.5,
  });
  const leaving = new Set<string>();
  const databases = new Map<MemberId, Database>();
  const confirmed: ConfirmedWrite[] = [];
  const superseded: ConfirmedWrite[] = [];
  let writes = 0;

  const group = groupOf(MEMBERS);

  function runtimeOn(host: string): Runtime {
    return createRuntime({
      timer: network.timerFor(host),
      random: random.split(),
    });
  }

  /** Starts a member's process with an empty log. */
  function startMember(id: MemberId): void {
    const host = MEMBER_HOSTS[id];
    databases.set(
      id,
      createDatabase({
        runtime: runtimeOn(host),
        transport: network.transportFor(host),
        target: id,
        address: `${host}:7000`,
        settings: {connectionLimit: 50, ...options.settings},
      }),
    );
  }

  function startProxy(index: number): TestProxy {
    const host = proxyHost(index);
    const changes: LeadershipChange[] = [];
    const directory = createGroupDirectory({
      runtime: runtimeOn(host),
      transport: network.transportFor(host),
      ...(options.timings === undefined ? {} : {timings: options.timings}),
      groupCount: () => options.groupCount ?? 1,
      promoterNumber: promoterNumberOf({
        proxy: host,
        incarnation: random.hexadecimal(8),
      }),
      dataCentre: `dc-${MEMBERS[index % MEMBERS.length] ?? 'a'}`,
      watchRank: () =>
        index < (options.detectorCount ?? MEMBERS.length) ? index : undefined,
      isLeaving: member => leaving.has(member.id),
      onLeadershipChange: change => changes.push(change),
    });
    directory.updateManifest([group], 1);
    const view = directory.find('g');
    if (view === undefined) {
      throw new Error('The directory has no view of group g.');
    }
    return {
      host,
      view,
      changes,
      takeManifest: (version, members) =>
        directory.updateManifest([groupOf(members)], version),
    };
  }

  MEMBERS.forEach(startMember);
  const proxies = Array.from(
    {length: options.proxies ?? 3},
    (unusedItem, index) => startProxy(index),
  );

  function proxy(index: number): TestProxy {
    return proxies[index] as TestProxy;
  }

  /** Sends many writes over one connection without waiting for answers. */
  function writeMany(id: MemberId, term: number, count: number): void {
    const host = proxyHost(0);
    const address = `${MEMBER_HOSTS[id]}:7000`;
    network
      .transportFor(host)
      .dial(address, WRITE_TIMEOUT_MS)
      .onSettled(dialled => {
        const connection = dialled.unwrap();
        const peer = createRpcPeer({connection, timer});
        for (let number = 0; number < count; number++) {
          const parameters = ['many', number];
          const statement = {text: 'append ? ?', parameters};
          peer.request(
            targetExecute,
            {statement, mode: 'write', term},
            WRITE_TIMEOUT_MS,
          );
        }
      });
  }

  function control(id: MemberId) {
    return (databases.get(id) as Database).control;
  }

  function settle(condition: () => boolean, limit = 30_000): void {
    if (!timer.runUntil(condition, limit)) {
      throw new Error(`The condition was not met within ${limit} ms.`);
    }
  }

  /** Waits until a proxy knows a leadership with a term above `above`. */
  function awaitPrimary(index = 0, above = 0): MemberId {
    const {view} = proxy(index);
    view.touch();
    settle(() => (view.leadership()?.term ?? 0) > above);
    return view.leadership()?.primary as MemberId;
  }

  function termOf(index = 0): number {
    return proxy(index).view.lastLeadership()?.term ?? 0;
  }

  /** Keeps writing through a proxy, one record after the other. */
  function startWriter(index: number): void {
    const {host} = proxy(index);
    runtimeOn(host).spawn('writer', writeOn(proxy(index)));
  }

  function* writeOn({host, view}: TestProxy): Task<never> {
    const runtime = runtimeOn(host);
    const peers = new Map<string, RpcPeer>();
    for (;;) {
      const deadline = runtime.timer.now() + WRITE_TIMEOUT_MS;
      const leader = yield* waitFor(view.awaitLeadership(deadline));
      if (leader !== undefined) {
        yield* writeTo(view, leader.primary as MemberId, leader.term, peers);
      }
      yield* sleep(WRITE_INTERVAL_MS);
    }

    function* writeTo(
      group: ManagedGroupView,
      primary: MemberId,
      term: number,
      open: Map<string, RpcPeer>,
    ): Task<void> {
      const peer = open.get(primary) ?? (yield* dial(primary));
      if (peer === undefined) {
        return;
      }
      open.set(primary, peer);
      const entry = `w${writes++}`;
      const reply = yield* waitFor(
        peer.request(
          targetExecute,
          {
            statement: {text: 'append ? ?', parameters: ['log', entry]},
            mode: 'write',
            term,
          },
          WRITE_TIMEOUT_MS,
        ),
      );
      if (reply.err) {
        open.delete(primary);
        peer.close('failed');
        group.observeTerm(reply.val.failure.term ?? 0);
        return;
      }
      const {at} = reply.val;
      const fate = yield* waitFor(
        group.confirmation(at, runtime.timer.now() + WRITE_TIMEOUT_MS),
      );
      const list = fate === 'confirmed' ? confirmed : superseded;
      if (fate !== 'undecided') {
        list.push({entry, at, time: timer.now()});
      }
    }

    function* dial(primary: MemberId): Task<RpcPeer | undefined> {
      const dialled = yield* waitFor(
        network
          .transportFor(host)
          .dial(`${MEMBER_HOSTS[primary]}:7000`, WRITE_TIMEOUT_MS),
      );
      return dialled.ok
        ? createRpcPeer({connection: dialled.val, timer: runtime.timer})
        : undefined;
    }
  }

  function entriesAt(id: MemberId): unknown[] {
    const statement = {text: 'list ?', parameters: ['log']};
    return control(id)
      .inspect(statement)
      .map(row => row[0]);
  }

  /** Checks that a log has each confirmed record once and none superseded. */
  function checkRecords(id: MemberId): void {
    const counts = new Map<unknown, number>();
    for (const entry of entriesAt(id)) {
      counts.set(entry, (counts.get(entry) ?? 0) + 1);
    }
    const wrong = confirmed.filter(({entry}) => counts.get(entry) !== 1);
    expect(wrong).toEqual([]);
    expect(superseded.filter(({entry}) => counts.has(entry))).toEqual([]);
  }

  /** Waits until all members have the same log. */
  function awaitConvergence(members: readonly MemberId[] = MEMBERS): void {
    settle(() => {
      const ends = members.map(id => control(id).status().end);
      return ends.every(
        end => end.term === ends[0]?.term && end.position === ends[0]?.position,
      );
    });
    const logs = members.map(id => JSON.stringify(control(id).records()));
    expect(logs.every(log => log === logs[0])).toEqual(true);
  }

  /** Longest time without a confirmed write after the given time. */
  function gapSince(time: Milliseconds): Milliseconds {
    const times = confirmed.map(write => write.time).filter(at => at > time);
    let previous = Math.max(
      0,
      ...confirmed.map(write => write.time).filter(at => at <= time),
    );
    let gap = 0;
    for (const at of times) {
      gap = Math.max(gap, at - previous);
      previous = at;
    }
    return gap;
  }

  return {
    timer,
    network,
    leaving,
    group,
    confirmed,
    superseded,
    proxies,
    proxy,
    control,
    startMember,
    settle,
    awaitPrimary,
    termOf,
    startWriter,
    writeMany,
    entriesAt,
    checkRecords,
    awaitConvergence,
    gapSince,
  };
}
