/** The order in which other proxies are asked. */
import type {Milliseconds, Random} from '@kelpstep/runtime';
import type {PresentProxy} from '@kelpstep/table-feed';

/** Where the proxy is that asks. */
export type ProxyPlace = Pick<PresentProxy, 'dataCentre' | 'region'>;

/** Ways there and back, by distance: what counts is their order of magnitude. */
const SAME_DATA_CENTRE: Milliseconds = 1;
const SAME_REGION: Milliseconds = 2;
const OTHER_REGION: Milliseconds = 40;

/** Time of the way there and back that the distance lets expect. */
export function roundTripBetween(
  from: ProxyPlace,
  to: ProxyPlace,
): Milliseconds {
  if (from.dataCentre === to.dataCentre) {
    return SAME_DATA_CENTRE;
  }
  return from.region === to.region ? SAME_REGION : OTHER_REGION;
}

/** Part of a time by which others count as equal. */
const EQUAL_WITHIN = 0.2;

function sortBy(
  peers: readonly PresentProxy[],
  rankOf: (peer: PresentProxy) => number,
): PresentProxy[] {
  return peers
    .map(peer => ({peer, rank: rankOf(peer)}))
    .sort((left, right) => left.rank - right.rank)
    .map(({peer}) => peer);
}

/** In random order, so that those of all data centres are asked. */
export function inRandomOrder(
  random: Random,
  peers: readonly PresentProxy[],
): PresentProxy[] {
  return sortBy(peers, () => random.fraction());
}

/**
 * The one that is expected to answer first at the front; those about equal in
 * random order, so that proxies which know the same don't all choose the same.
 */
export function fastestFirst(
  random: Random,
  peers: readonly PresentProxy[],
  expected: (peer: PresentProxy) => Milliseconds,
): PresentProxy[] {
  return sortBy(peers, peer => random.jitter(expected(peer), EQUAL_WITHIN));
}
