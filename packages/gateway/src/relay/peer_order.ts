/** The order in which other proxies are asked. */
import type {Milliseconds, Random} from '@kelpstep/runtime';
import type {PresentProxy} from '@kelpstep/table-feed';

/** Where the proxy is that asks. */
export type ProxyPlace = Pick<PresentProxy, 'dataCentre' | 'region'>;

/** Guesses of the time to an answer, before any was measured. */
const SAME_DATA_CENTRE: Milliseconds = 20;
const SAME_REGION: Milliseconds = 25;
const OTHER_REGION: Milliseconds = 80;

/** Time to the answer of a statement, as the distance lets expect it. */
export function guessByDistance(
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
