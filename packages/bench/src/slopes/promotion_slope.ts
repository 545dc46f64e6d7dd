/** What changes of primary cost the watcher that promotes. */
import {
  LeadershipChange,
  createGroupDirectory,
  promoterNumberOf,
} from '@kelpstep/failover';
import type {Group} from '@kelpstep/manifest';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createDatabase, createFakeNetwork} from '@kelpstep/stand-ins';

import {
  countTransport,
  createTraffic,
  resetTraffic,
} from './counting_transport';
import {processorTime} from './meter';
import {Point, Series, measureWarm} from './series';

const MEMBERS = [1, 2, 3];
const PROXY_HOST = '10.0.9.1';
const PORT = 5432;
const SETTLING_TIME = 20_000;
const WINDOW = 5000;

function memberHost(group: number, member: number): string {
  return `10.${member}.0.${group + 1}`;
}

function groupOf(index: number): Group {
  const name = `logbook-${index + 1}`;
  return {
    name,
    readStaleness: 1000,
    members: MEMBERS.map(member => ({
      id: `${name}-${member}`,
      dataCentre: `centre-${member}`,
      address: `${memberHost(index, member)}:${PORT}`,
      state: 'serving' as const,
      slots: 5,
      connectionLimit: 55,
    })),
  };
}

/** Kills the primaries of so many groups at once and takes what it cost. */
export function measurePromotions(lost: number): Point {
  const timer = createVirtualTimer();
  const random = createRandom(7);
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: () => 1,
  });
  const groups = Array.from({length: Math.max(lost, 1)}, (unusedItem, index) =>
    groupOf(index),
  );
  for (const {members} of groups) {
    for (const {id, address} of members) {
      const host = address.slice(0, address.indexOf(':'));
      const runtime = createRuntime({
        timer: network.timerFor(host),
        random: random.split(),
      });
      createDatabase({
        runtime,
        transport: network.transportFor(host),
        target: id,
        address,
      });
    }
  }
  const traffic = createTraffic();
  const changes: LeadershipChange[] = [];
  const directory = createGroupDirectory({
    runtime: createRuntime({
      timer: network.timerFor(PROXY_HOST),
      random: random.split(),
    }),
    transport: countTransport(network.transportFor(PROXY_HOST), traffic),
    promoterNumber: promoterNumberOf({proxy: PROXY_HOST, incarnation: '1'}),
    dataCentre: 'centre-1',
    watchRank: () => 0,
    isLeaving: () => false,
    onLeadershipChange: change => changes.push(change),
  });
  directory.updateManifest(groups);
  timer.advance(SETTLING_TIME);
  changes.length = 0;
  resetTraffic(traffic);
  const before = processorTime();
  for (const {name, members} of groups.slice(0, lost)) {
    const primary = directory.find(name)?.lastLeadership()?.primary;
    const address = members.find(({id}) => id === primary)?.address ?? '';
    network.killHost(address.slice(0, address.indexOf(':')));
  }
  timer.advance(WINDOW);
  directory.close();
  return {
    size: lost,
    values: {
      sentMessages: traffic.sentMessages,
      receivedMessages: traffic.receivedMessages,
      sentBytes: traffic.sentBytes,
      receivedBytes: traffic.receivedBytes,
      processorMilliseconds: processorTime() - before,
      changes: changes.length,
      longestSinceHeard: Math.max(
        0,
        ...changes.map(({durations}) => durations.sinceHeard ?? 0),
      ),
    },
  };
}

const LOST_COUNTS = [1, 4, 16];

/** The series of promotions: totals in the 5 s after the loss. */
export function measurePromoter(): Series[] {
  return [
    {
      role: 'promoter, totals of 5 s after the loss',
      variable: 'primaries lost',
      points: measureWarm(LOST_COUNTS, measurePromotions),
    },
  ];
}
