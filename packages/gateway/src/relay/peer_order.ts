/** The order in which peers are tried. */
import {hashText, mixHashes} from '@kelpstep/membership';
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
  /** Time after which the peer reported that it could start the statement. */
  readonly wait?: Milliseconds | undefined;
}

/** Added to a slow peer's rank, which places it behind all others. */
const SLOW_PEER_PENALTY_MS: Milliseconds = 1000;
/**
 * Reported waits that differ by less than this count as equal. Otherwise all
 * statements of this proxy would go to the one peer with the shortest wait
 * until its next report.
 */
const WAIT_STEP_MS: Milliseconds = 50;
const HASH_RANGE = 2 ** 32;

/**
 * Position among equally near peers, at least 0 and below 1. It is random for
 * statements without an account: if all proxies chose the fastest peer, they
 * would all choose the same one. Statements of an account go to the same peer
 * of each distance, because a connection serves one account only.
 */
function positionAmongEquals(
  random: Random,
  {proxy}: ProxyDescriptor,
  account: string | undefined,
): number {
  return account === undefined
    ? random.fraction()
    : 1 - (mixHashes(hashText(account), hashText(proxy)) + 1) / HASH_RANGE;
}

/**
 * Orders peers by round trip and reported wait, so that few statements cross
 * regions, and slow peers last.
 */
export function nearestFirst(
  random: Random,
  peers: readonly ProxyDescriptor[],
  rankOf: (peer: ProxyDescriptor) => PeerRank,
  account?: string,
): ProxyDescriptor[] {
  return sortBy(peers, peer => {
    const {roundTrip, isSlow, wait = 0} = rankOf(peer);
    return (
      roundTrip +
      Math.floor(wait / WAIT_STEP_MS) * WAIT_STEP_MS +
      positionAmongEquals(random, peer, account) +
      (isSlow ? SLOW_PEER_PENALTY_MS : 0)
    );
  });
}
