/** Measures the cost of computing failure detector ranks among many proxies. */
import {createMembership} from '@kelpstep/membership';
import {PeerUpdate, peerExchange} from '@kelpstep/protocol';
import {createResponsibilities} from '@kelpstep/proxy';
import {RpcPeer, createHandlerTable} from '@kelpstep/rpc';
import {
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';

import {processorTime, usedHeapBytes} from './meter';
import {Point, Series, measureAfterWarmUp} from './series';

const DATA_CENTRE_COUNT = 19;
const GROUP_COUNT = 5667;
const LOOKUP_COUNT = 20;

function createIdentity(index: number) {
  return {
    proxy: `proxy-${index}`,
    incarnation: `incarnation-${index}`,
    dataCentre: `centre-${index % DATA_CENTRE_COUNT}`,
    address: `10.${index % DATA_CENTRE_COUNT}.0.1:${1000 + index}`,
  };
}

/**
 * Measures one computation of the ranks of all groups, then repeated
 * computations for the groups that the proxy monitors.
 */
export function measureRanks(proxies: number): Point {
  const timer = createVirtualTimer();
  const membership = createMembership({
    runtime: createRuntime({timer, random: createRandom(1)}),
    self: createIdentity(0),
    seeds: [],
    exchange: () => createDeferred<never>().future,
    hooks: {
      ready: () => true,
      manifestVersion: () => 1,
      onManifestVersion: () => {},
      onLeadership: () => false,
    },
  });
  const heapBefore = usedHeapBytes();
  const handlers = createHandlerTable();
  membership.serve(handlers);
  const updates: PeerUpdate[] = Array.from(
    {length: proxies - 1},
    (unusedItem, index) => ({
      proxy: createIdentity(index + 1),
      revision: 0,
      condition: 'alive',
      leaving: false,
    }),
  );
  const state = {
    from: createIdentity(1),
    ready: true,
    manifestVersion: 1,
    leaderships: [],
    proxies: [],
    updates,
  };
  const unusedPeer = {} as RpcPeer;
  handlers.dispatch(peerExchange.name, state, unusedPeer);
  const responsibilities = createResponsibilities(membership);
  const groupNames = Array.from(
    {length: GROUP_COUNT},
    (unusedItem, index) => `g-${index}`,
  );
  const reviewStartedAt = processorTime();
  const monitoredGroups = groupNames.filter(
    name => responsibilities.watchRank(name) !== undefined,
  );
  const reviewTime = processorTime() - reviewStartedAt;
  const lookupsStartedAt = processorTime();
  for (let lookup = 0; lookup < LOOKUP_COUNT; lookup++) {
    monitoredGroups.forEach(responsibilities.watchRank);
  }
  const lookupTime = processorTime() - lookupsStartedAt;
  return {
    size: proxies,
    values: {
      known: membership.liveProxies().length,
      watchedGroups: monitoredGroups.length,
      reviewMilliseconds: reviewTime,
      lookMicroseconds:
        (1000 * lookupTime) / (LOOKUP_COUNT * monitoredGroups.length),
      heapBytes: usedHeapBytes() - heapBefore,
    },
  };
}

const PROXY_COUNTS = [100, 300, 1000, 3100];

/** Measures the rank series with the number of groups at the planned size. */
export function measureRankSeries(): Series[] {
  return [
    {
      role: `rank among proxies, ${GROUP_COUNT} groups`,
      variable: 'proxies',
      points: measureAfterWarmUp(PROXY_COUNTS, measureRanks),
    },
  ];
}
