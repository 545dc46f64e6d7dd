/** The order in which peers are tried. */
import type {Milliseconds, Random} from '@kelpstep/runtime';
import type {ProxyDescriptor} from '@kelpstep/table-feed';

export type ProxyLocation = Pick<ProxyDescriptor, 'dataCentre' | 'region'>;

/** Round trips by distance; only their order of magnitude matters. */
const SAME_DATA_CENTRE_ROUND_TRIP_MS: Milliseconds = 1;
const SAME_REGION_ROUND_TRIP_MS: Milliseconds = 2;
const OTHER_REGION_ROUND_TRIP_MS: Milliseconds = 40;

/** Expected network round trip between two locations. */
export function roundTripBetween(
  from: ProxyLocation,
  to: ProxyLocation,
): Milliseconds {
  if (from.dataCentre === to.dataCentre) {
    return SAME_DATA_CENTRE_ROUND_TRIP_MS;
  }
  return from.region === to.region
    ? SAME_REGION_ROUND_TRIP_MS
    : OTHER_REGION_ROUND_TRIP_MS;
}

function sortBy(
  peers: readonly ProxyDescriptor[],
  rankOf: (peer: ProxyDescriptor) => number,
): ProxyDescriptor[] {
  return peers
    .map(peer => ({peer, rank: rankOf(peer)}))
    .sort((left, right) => left.rank - right.rank)
    .map(({peer}) => peer);
}

/** Shuffles the peers, so that the first ones represent all data centres. */
export function inRandomOrder(
  random: Random,
  peers: readonly ProxyDescriptor[],
): ProxyDescriptor[] {
  return sortBy(peers, () => random.fraction());
}

export interface PeerRank {
  readonly roundTrip: Milliseconds;
  /** True if the peer takes much longer than others. */
  readonly isSlow: boolean;
}

/** Added to a slow peer's rank, which places it behind all others. */
const SLOW_PEER_PENALTY_MS: Milliseconds = 1000;

/**
 * Orders the nearest peers first, so that few statements cross regions, and
 * slow peers last. Equally near peers come in random order: if all proxies
 * chose the fastest peer, they would all choose the same one.
 */
export function nearestFirst(
  random: Random,
  peers: readonly ProxyDescriptor[],
  rankOf: (peer: ProxyDescriptor) => PeerRank,
): ProxyDescriptor[] {
  return sortBy(peers, peer => {
    const {roundTrip, isSlow} = rankOf(peer);
    return roundTrip + random.fraction() + (isSlow ? SLOW_PEER_PENALTY_MS : 0);
  });
}
