/** What membership costs a proxy, by the number of proxies and by news. */
import {
  RunningMembership,
  createIdempotentRequest,
  createMembership,
  createShortExchange,
  proportionalPace,
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

import {countTransport, createTraffic} from './counting_transport';
import {Cost, measureStretch, usedHeap} from './meter';
import {Point, Series, measureWarm} from './series';

/** Size and news of a run. */
export interface MembershipLoad {
  readonly proxies: number;
  /** Changes of leadership per second, in the whole system. */
  readonly newsPerSecond: number;
  /** The pace is that of at least so many proxies. */
  readonly paceOf?: number;
}

const DATA_CENTRES = 3;
const SEEDS = 2;
const PEER_PORT = 7002;
const EXCHANGE_TIMEOUT = 300;
const SETTLING_TIME = 60_000;
const MEASURED_TIME = 30_000;
const LATENCY = 6;
const SEED = 5;

function hostOf(index: number): string {
  return `10.${index % DATA_CENTRES}.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}

function perProxy(cost: Cost, proxies: number): Record<string, number> {
  return Object.fromEntries(
    Object.entries(cost).map(([name, value]) => [name, value / proxies]),
  );
}

/** Runs one size in virtual time; values are means over the proxies. */
export function measureMembership(load: MembershipLoad): Point {
  const {proxies, newsPerSecond, paceOf = 0} = load;
  const timer = createVirtualTimer();
  const random = createRandom(SEED);
  const traffic = createTraffic();
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: () => LATENCY,
  });
  const heapBefore = usedHeap();
  const memberships = Array.from({length: proxies}, (unusedItem, index) =>
    startProxy(index),
  );

  function startProxy(index: number): RunningMembership {
    const host = hostOf(index);
    const runtime = createRuntime({
      timer: network.timerFor(host),
      random: random.split(),
    });
    const transport = countTransport(network.transportFor(host), traffic);
    const links = createPeerLinks({transport, timer: runtime.timer});
    const ask = createIdempotentRequest(runtime, links.request);
    const terms = new Map<string, number>();
    const address = `${host}:${PEER_PORT}`;
    const membership = createMembership({
      runtime,
      self: {
        proxy: `proxy-${index + 1}`,
        incarnation: random.hexadecimal(16),
        dataCentre: `centre-${index % DATA_CENTRES}`,
        address,
      },
      seeds: Array.from(
        {length: SEEDS},
        (unusedItem, seed) => `${hostOf(seed)}:${PEER_PORT}`,
      ),
      pacePolicy: (count, base) =>
        proportionalPace(Math.max(count, paceOf), base),
      exchange: createShortExchange({
        runtime,
        ask,
        timeout: EXCHANGE_TIMEOUT,
      }),
      hooks: {
        ready: () => true,
        manifestVersion: () => 1,
        heardManifest: () => {},
        heardLeadership({group, term}) {
          const isNews = term > (terms.get(group) ?? 0);
          terms.set(group, Math.max(term, terms.get(group) ?? 0));
          return isNews;
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

  timer.advance(SETTLING_TIME);
  if (newsPerSecond > 0) {
    let term = 0;
    timer.every(1000 / newsPerSecond, () =>
      random.pick(memberships).announceLeadership({
        group: 'logbook-1',
        term: ++term * 65_536,
        primary: 'logbook-1-centre-1',
      }),
    );
  }
  const cost = measureStretch(timer, traffic, MEASURED_TIME);
  const known = memberships.filter(
    membership => membership.liveProxies().length === proxies,
  );
  const heapBytes = (usedHeap() - heapBefore) / proxies;
  return {
    size: proxies,
    values: {
      ...perProxy(cost, proxies),
      heapBytes,
      completeViews: known.length / proxies,
    },
  };
}

const PROXY_COUNTS = [2, 8, 16, 32, 64, 128, 256];
/** From so many proxies on the interval no longer grows. */
const LONGEST_PACE = 480;
const COUNTS_AT_LONGEST_PACE = [32, 64, 128, 256];
const NEWS_RATES = [0, 0.1, 0.2, 0.5];
const PROXIES_OF_NEWS = 128;

/** The series of membership. */
export function measureMemberships(): Series[] {
  const paceOf = LONGEST_PACE;
  return [
    {
      role: 'membership',
      variable: 'proxies',
      points: measureWarm(PROXY_COUNTS, proxies =>
        measureMembership({proxies, newsPerSecond: 0}),
      ),
    },
    {
      role: `membership at the pace of ${LONGEST_PACE} proxies`,
      variable: 'proxies',
      points: measureWarm(COUNTS_AT_LONGEST_PACE, proxies =>
        measureMembership({proxies, newsPerSecond: 0, paceOf}),
      ),
    },
    {
      role: `membership of ${PROXIES_OF_NEWS} proxies at that pace, with news`,
      variable: 'news/s',
      points: NEWS_RATES.map(newsPerSecond => ({
        ...measureMembership({proxies: PROXIES_OF_NEWS, newsPerSecond, paceOf}),
        size: newsPerSecond,
      })),
    },
  ];
}
