/**
 * Measures the cost of membership for a proxy, by the number of proxies and by
 * the rate of leadership changes.
 */
import {
  RunningMembership,
  createIdempotentRequest,
  createMembership,
  createShortExchange,
  proportionalTiming,
} from '@kelpstep/membership';
import {
  createHandlerTable,
  createPeerLinks,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createFakeNetwork} from '@kelpstep/stand-ins';

import {createCountingTransport, createTraffic} from './counting_transport';
import {Cost, measureCost, usedHeapBytes} from './meter';
import {Point, Series, measureAfterWarmUp} from './series';

/** Size of the cluster and rate of changes that one run simulates. */
export interface MembershipLoad {
  readonly proxies: number;
  /** Changes of leadership per second in the whole cluster. */
  readonly leadershipChangesPerSecond: number;
  /**
   * Minimum number of proxies for which the gossip timing is computed; 0 by
   * default.
   */
  readonly timingProxyCount?: number;
}

const DATA_CENTRE_COUNT = 3;
const SEED_PROXY_COUNT = 2;
const PEER_PORT = 7002;
const EXCHANGE_TIMEOUT_MS = 300;
const SETTLING_TIME_MS = 60_000;
const MEASUREMENT_TIME_MS = 30_000;
const LATENCY_MS = 6;
const RANDOM_SEED = 5;

function hostOf(index: number): string {
  return `10.${index % DATA_CENTRE_COUNT}.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}

function perProxy(cost: Cost, proxies: number): Record<string, number> {
  return Object.fromEntries(
    Object.entries(cost).map(([name, value]) => [name, value / proxies]),
  );
}

/** Runs one load in virtual time; values are means over the proxies. */
export function measureMembership(load: MembershipLoad): Point {
  const {proxies, leadershipChangesPerSecond, timingProxyCount = 0} = load;
  const timer = createVirtualTimer();
  const random = createRandom(RANDOM_SEED);
  const traffic = createTraffic();
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: () => LATENCY_MS,
  });
  const heapBefore = usedHeapBytes();
  const memberships = Array.from({length: proxies}, (unusedItem, index) =>
    startProxy(index),
  );

  function startProxy(index: number): RunningMembership {
    const host = hostOf(index);
    const runtime = createRuntime({
      timer: network.timerFor(host),
      random: random.split(),
    });
    const transport = createCountingTransport(
      network.transportFor(host),
      traffic,
    );
    const links = createPeerLinks({transport, timer: runtime.timer});
    const sendRequest = createIdempotentRequest(runtime, links.request);
    const terms = new Map<string, number>();
    const address = `${host}:${PEER_PORT}`;
    const membership = createMembership({
      runtime,
      self: {
        proxy: `proxy-${index + 1}`,
        incarnation: random.hexadecimal(16),
        dataCentre: `centre-${index % DATA_CENTRE_COUNT}`,
        address,
      },
      seeds: Array.from(
        {length: SEED_PROXY_COUNT},
        (unusedItem, seed) => `${hostOf(seed)}:${PEER_PORT}`,
      ),
      timingPolicy: (count, base) =>
        proportionalTiming(Math.max(count, timingProxyCount), base),
      exchange: createShortExchange({
        runtime,
        request: sendRequest,
        timeout: EXCHANGE_TIMEOUT_MS,
      }),
      hooks: {
        ready: () => true,
        manifestVersion: () => 1,
        onManifestVersion: () => {},
        onLeadership({group, term}) {
          const isNewer = term > (terms.get(group) ?? 0);
          terms.set(group, Math.max(term, terms.get(group) ?? 0));
          return isNewer;
        },
      },
    });
    const handlers = createHandlerTable();
    membership.serve(handlers);
    transport.listen(address, connection => {
      createRpcPeer({connection, timer: runtime.timer, handlers});
    });
    membership.start();
    return membership;
  }

  timer.advance(SETTLING_TIME_MS);
  if (leadershipChangesPerSecond > 0) {
    let term = 0;
    timer.every(1000 / leadershipChangesPerSecond, () =>
      random.pick(memberships).announceLeadership({
        group: 'logbook-1',
        term: ++term * 65_536,
        primary: 'logbook-1-centre-1',
      }),
    );
  }
  const cost = measureCost(timer, traffic, MEASUREMENT_TIME_MS);
  const complete = memberships.filter(
    membership => membership.liveProxies().length === proxies,
  );
  const heapBytes = (usedHeapBytes() - heapBefore) / proxies;
  return {
    size: proxies,
    values: {
      ...perProxy(cost, proxies),
      heapBytes,
      completeViews: complete.length / proxies,
    },
  };
}

const PROXY_COUNTS = [2, 8, 16, 32, 64, 128, 256];
/** The gossip interval does not grow beyond this number of proxies. */
const SLOWEST_TIMING_PROXY_COUNT = 480;
const PROXY_COUNTS_AT_SLOWEST_TIMING = [32, 64, 128, 256];
const LEADERSHIP_CHANGES_PER_SECOND = [0, 0.1, 0.2, 0.5];
const LEADERSHIP_CHANGE_PROXY_COUNT = 128;

export function measureMembershipSeries(): Series[] {
  const timingProxyCount = SLOWEST_TIMING_PROXY_COUNT;
  return [
    {
      role: 'membership',
      variable: 'proxies',
      points: measureAfterWarmUp(PROXY_COUNTS, proxies =>
        measureMembership({proxies, leadershipChangesPerSecond: 0}),
      ),
    },
    {
      role: `membership at the pace of ${SLOWEST_TIMING_PROXY_COUNT} proxies`,
      variable: 'proxies',
      points: measureAfterWarmUp(PROXY_COUNTS_AT_SLOWEST_TIMING, proxies =>
        measureMembership({
          proxies,
          leadershipChangesPerSecond: 0,
          timingProxyCount,
        }),
      ),
    },
    {
      role: `membership of ${LEADERSHIP_CHANGE_PROXY_COUNT} proxies at that pace, with news`,
      variable: 'news/s',
      points: LEADERSHIP_CHANGES_PER_SECOND.map(leadershipChangesPerSecond => ({
        ...measureMembership({
          proxies: LEADERSHIP_CHANGE_PROXY_COUNT,
          leadershipChangesPerSecond,
          timingProxyCount,
        }),
        size: leadershipChangesPerSecond,
      })),
    },
  ];
}
