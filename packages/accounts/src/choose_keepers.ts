/**
 * Which proxies count the operations of accounts. Without input and output.
 *
 * One keeper an area: most operations are counted nearby, and while a keeper is lost
 * the others go on with their parts of each quota.
 */

/** A proxy that may count. */
export interface QuotaPeer {
  readonly proxy: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Where it is asked; empty if it can't be. */
  readonly relayAddress: string;
}

/** What the choice goes by. */
export interface KeeperView {
  readonly self: QuotaPeer;
  /** Proxies that others know and prefer, in the same order everywhere. */
  readonly candidates: readonly QuotaPeer[];
  isUsable(peer: QuotaPeer): boolean;
}

/** The keepers that a proxy deals with. */
export interface Keepers {
  /** The one that its part of all quotas is lent to. */
  readonly home: QuotaPeer;
  /** Those of the other areas. */
  readonly others: readonly QuotaPeer[];
}

/** Regions, or data centres if there is one region only. */
function areaFunction(
  peers: readonly QuotaPeer[],
): (peer: QuotaPeer) => string {
  const regions = new Set(peers.map(({region}) => region));
  return regions.size > 1 ? ({region}) => region : ({dataCentre}) => dataCentre;
}

/** Chooses the first usable candidate of each area. */
export function chooseKeepers(view: KeeperView): Keepers {
  const {self, candidates, isUsable} = view;
  const areaOf = areaFunction([self, ...candidates]);
  const chosen = new Map<string, QuotaPeer>();
  for (const peer of candidates) {
    const isFirst = !chosen.has(areaOf(peer));
    if (isFirst && (peer.proxy === self.proxy || isUsable(peer))) {
      chosen.set(areaOf(peer), peer);
    }
  }
  const [anywhere] = chosen.values();
  const home = chosen.get(areaOf(self)) ?? anywhere ?? self;
  const others = [...chosen.values()].filter(peer => peer !== home);
  return {home, others};
}
