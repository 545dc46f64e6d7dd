/**
 * Selects the proxies that coordinate the quotas of accounts. Does no I/O.
 *
 * There is one coordinator per area, so that most operations are counted
 * nearby. While a coordinator is unreachable, the others continue with their
 * shares.
 */

/** A proxy that may be a quota coordinator. */
export interface QuotaPeer {
  readonly proxy: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Address for requests; empty if it accepts none. */
  readonly relayAddress: string;
}

export interface CoordinatorOptions {
  readonly self: QuotaPeer;
  /** Proxies in order of preference, which is the same on all proxies. */
  readonly candidates: readonly QuotaPeer[];
  isUsable(peer: QuotaPeer): boolean;
}

/**
 * The usable coordinators: at most one per area, and this proxy if there is no
 * other.
 */
export interface QuotaCoordinators {
  /** The coordinator that the proxy leases its share to. */
  readonly home: QuotaPeer;
  /** The coordinators of the other areas. */
  readonly others: readonly QuotaPeer[];
}

/**
 * Returns a function that gives a peer's area: its region, or its data centre
 * if all peers are in one region.
 */
function areaFunction(
  peers: readonly QuotaPeer[],
): (peer: QuotaPeer) => string {
  const regions = new Set(peers.map(({region}) => region));
  return regions.size > 1 ? ({region}) => region : ({dataCentre}) => dataCentre;
}

/**
 * Chooses the first usable candidate of each area. If the own area has none,
 * `home` is the first coordinator of another area; if there is no usable
 * candidate at all, it is this proxy.
 */
export function chooseCoordinators(
  options: CoordinatorOptions,
): QuotaCoordinators {
  const {self, candidates, isUsable} = options;
  const areaOf = areaFunction([self, ...candidates]);
  const chosen = new Map<string, QuotaPeer>();
  for (const peer of candidates) {
    const isFirstOfArea = !chosen.has(areaOf(peer));
    if (isFirstOfArea && (peer.proxy === self.proxy || isUsable(peer))) {
      chosen.set(areaOf(peer), peer);
    }
  }
  const [anywhere] = chosen.values();
  const home = chosen.get(areaOf(self)) ?? anywhere ?? self;
  const others = [...chosen.values()].filter(peer => peer !== home);
  return {home, others};
}
