/** The order in which other proxies are asked. */
import type {Random} from '@kelpstep/runtime';
import type {PresentProxy} from '@kelpstep/table-feed';

/** Where the proxy is that asks. */
export type ProxyPlace = Pick<PresentProxy, 'dataCentre' | 'region'>;

/** 0 within a data centre, 1 within a region, 2 beyond. */
function distance(from: ProxyPlace, to: ProxyPlace): number {
  if (from.dataCentre === to.dataCentre) {
    return 0;
  }
  return from.region === to.region ? 1 : 2;
}

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
 * The nearest first, so that few statements go between regions; in random order
 * among those that are equally near, so that load spreads.
 */
export function nearestFirst(
  random: Random,
  peers: readonly PresentProxy[],
  from: ProxyPlace,
): PresentProxy[] {
  return sortBy(peers, peer => random.fraction() + distance(from, peer));
}
