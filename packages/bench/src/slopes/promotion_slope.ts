/** Measures what promotions cost the failure detector that performs them. */
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
  createCountingTransport,
  createTraffic,
  resetTraffic,
} from './counting_transport';
import {processorTime} from './meter';
import {Point, Series, measureAfterWarmUp} from './series';

const MEMBER_NUMBERS = [1, 2, 3];
const PROXY_HOST = '10.0.9.1';
const PORT = 5432;
const SETTLING_TIME_MS = 20_000;
const MEASUREMENT_TIME_MS = 5000;

function memberHost(group: number, member: number): string {
  return `10.${member}.0.${group + 1}`;
}

function createGroup(index: number): Group {
  const name = `logbook-${index + 1}`;
  return {
    name,
    readStaleness: 1000,
    members: MEMBER_NUMBERS.map(member => ({
      id: `${name}-${member}`,
      dataCentre: `centre-${member}`,
      address: `${memberHost(index, member)}:${PORT}`,
      state: 'serving' as const,
      slots: 5,
      connectionLimit: 55,
    })),
  };
}

/** Kills the primaries of a number of groups at once and measures the cost. */
export function measurePromotions(lostCount: number): Point {
  const timer = createVirtualTimer();
  const random = createRandom(7);
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: () => 1,
  });
  const groups = Array.from(
    {length: Math.max(lostCount, 1)},
    (unusedItem, index) => createGroup(index),
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
    transport: createCountingTransport(
      network.transportFor(PROXY_HOST),
      traffic,
    ),
    promoterNumber: promoterNumberOf({proxy: PROXY_HOST, incarnation: '1'}),
    dataCentre: 'centre-1',
    watchRank: () => 0,
    isLeaving: () => false,
    onLeadershipChange: change => changes.push(change),
  });
  directory.updateManifest(groups);
  timer.advance(SETTLING_TIME_MS);
  changes.length = 0;
  resetTraffic(traffic);
  const processorTimeBefore = processorTime();
  for (const {name, members} of groups.slice(0, lostCount)) {
    const primary = directory.find(name)?.lastLeadership()?.primary;
    const address = members.find(({id}) => id === primary)?.address ?? '';
    network.killHost(address.slice(0, address.indexOf(':')));
  }
  timer.advance(MEASUREMENT_TIME_MS);
  directory.close();
  return {
    size: lostCount,
    values: {
      sentMessages: traffic.sentMessages,
      receivedMessages: traffic.receivedMessages,
      sentBytes: traffic.sentBytes,
      receivedBytes: traffic.receivedBytes,
      processorMilliseconds: processorTime() - processorTimeBefore,
      changes: changes.length,
      longestSinceHeard: Math.max(
        0,
        ...changes.map(({durations}) => durations.sinceHeard ?? 0),
      ),
    },
  };
}

const LOST_PRIMARY_COUNTS = [1, 4, 16];

/** Measures the promotion series: totals of the 5 s after the failures. */
export function measurePromotionSeries(): Series[] {
  return [
    {
      role: 'promoter, totals of 5 s after the loss',
      variable: 'primaries lost',
      points: measureAfterWarmUp(LOST_PRIMARY_COUNTS, measurePromotions),
    },
  ];
}
