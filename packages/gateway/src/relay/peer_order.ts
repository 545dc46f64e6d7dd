/** The order in which other proxies are asked. */
import type {PresentProxy} from '@kelpstep/table-feed';
import type {Random} from '@kelpstep/runtime';

/** In random order, so that load spreads; those of a data centre first. */
export function inRandomOrder(
  random: Random,
  peers: readonly PresentProxy[],
  firstFrom?: string,
): PresentProxy[] {
  return peers
    .map(peer => {
      const isFirst = peer.dataCentre === firstFrom;
      return {peer, rank: random.fraction() + (isFirst ? 0 : 1)};
    })
    .sort((left, right) => left.rank - right.rank)
    .map(({peer}) => peer);
}
