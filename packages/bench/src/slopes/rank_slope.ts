/** What it costs a watcher to know its rank among many proxies. */
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

import {processorTime, usedHeap} from './meter';
import {Point, Series, measureWarm} from './series';

const DATA_CENTRES = 19;
const GROUPS = 5667;
const LOOKS = 20;

function identityOf(index: number) {
  return {
    proxy: `proxy-${index}`,
    incarnation: `incarnation-${index}`,
    dataCentre: `centre-${index % DATA_CENTRES}`,
    address: `10.${index % DATA_CENTRES}.0.1:${1000 + index}`,
  };
}

/** Finds the ranks for all groups, then again and again those it watches. */
export function measureRanks(proxies: number): Point {
  const timer = createVirtualTimer();
  const membership = createMembership({
    runtime: createRuntime({timer, random: createRandom(1)}),
    self: identityOf(0),
    seeds: [],
    exchange: () => createDeferred<never>().future,
    hooks: {
      ready: () => true,
      manifestVersion: () => 1,
      heardManifest: () => {},
      heardLeadership: () => false,
    },
  });
  const heapBefore = usedHeap();
  const handlers = createHandlerTable();
  membership.serve(handlers);
  const updates: PeerUpdate[] = Array.from(
    {length: proxies - 1},
    (unusedItem, index) => ({
      proxy: identityOf(index + 1),
      revision: 0,
      condition: 'alive',
      leaving: false,
    }),
  );
  const state = {
    from: identityOf(1),
    ready: true,
    manifestVersion: 1,
    leaderships: [],
    proxies: [],
    updates,
  };
  const unusedPeer = {} as RpcPeer;
  handlers.dispatch(peerExchange.name, state, unusedPeer);
  const responsibilities = createResponsibilities(membership);
  const names = Array.from(
    {length: GROUPS},
    (unusedItem, index) => `g-${index}`,
  );
  const reviewAt = processorTime();
  const watched = names.filter(
    name => responsibilities.watchRank(name) !== undefined,
  );
  const review = processorTime() - reviewAt;
  const looksAt = processorTime();
  for (let look = 0; look < LOOKS; look++) {
    watched.forEach(responsibilities.watchRank);
  }
  const looks = processorTime() - looksAt;
  return {
    size: proxies,
    values: {
      known: membership.liveProxies().length,
      watchedGroups: watched.length,
      reviewMilliseconds: review,
      lookMicroseconds: (1000 * looks) / (LOOKS * watched.length),
      heapBytes: usedHeap() - heapBefore,
    },
  };
}

const PROXY_COUNTS = [100, 300, 1000, 3100];

/** The series of ranks: all groups of the target size. */
export function measureRanking(): Series[] {
  return [
    {
      role: `rank among proxies, ${GROUPS} groups`,
      variable: 'proxies',
      points: measureWarm(PROXY_COUNTS, measureRanks),
    },
  ];
}
