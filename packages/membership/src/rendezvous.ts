/** Rendezvous hashing over proxies, spread over data centres. */
import type {ProxyIdentity} from '@kelpstep/protocol';

import {hashText, mixHashes} from './hash';

/** What picking goes by. */
export type PlacedProxy = Pick<ProxyIdentity, 'proxy' | 'dataCentre'>;

/** The proxies of one data centre. */
interface Centre<P extends PlacedProxy> {
  readonly identities: readonly P[];
  /** Hashes of their ids: a new process with an id takes the old one's place. */
  readonly hashes: Uint32Array;
}

/** Proxies that may be picked, by data centre. */
export type CandidateSet<P extends PlacedProxy = ProxyIdentity> = ReadonlyMap<
  string,
  Centre<P>
>;

interface Scored<P extends PlacedProxy> {
  readonly identity: P;
  readonly score: number;
}

/** Prepares proxies for picking. */
export function createCandidateSet<P extends PlacedProxy>(
  identities: readonly P[],
): CandidateSet<P> {
  const byCentre = new Map<string, P[]>();
  for (const identity of identities) {
    const centre = byCentre.get(identity.dataCentre) ?? [];
    centre.push(identity);
    byCentre.set(identity.dataCentre, centre);
  }
  const set = new Map<string, Centre<P>>();
  for (const [dataCentre, members] of byCentre) {
    const hashes = Uint32Array.from(members, ({proxy}) => hashText(proxy));
    set.set(dataCentre, {identities: members, hashes});
  }
  return set;
}

/** The candidates of one data centre. */
export function onlyFrom(set: CandidateSet, dataCentre: string): CandidateSet {
  const centre = set.get(dataCentre);
  return new Map(centre === undefined ? [] : [[dataCentre, centre]]);
}

/** Equal scores are ordered by id, so that all proxies pick the same. */
function compareScored(
  left: Scored<PlacedProxy>,
  right: Scored<PlacedProxy>,
): number {
  const byId = left.identity.proxy < right.identity.proxy ? -1 : 1;
  return right.score - left.score || byId;
}

/** The best of one data centre; runs over all proxies, so it makes no garbage. */
function bestOf<P extends PlacedProxy>(
  nameHash: number,
  {identities, hashes}: Centre<P>,
  taken: ReadonlySet<P>,
): Scored<P> | undefined {
  let best: P | undefined;
  let bestScore = 0;
  for (let index = 0; index < hashes.length; index++) {
    const score = mixHashes(nameHash, hashes[index] ?? 0);
    if (score < bestScore) {
      continue;
    }
    const identity = identities[index];
    const isBetter =
      identity !== undefined &&
      !taken.has(identity) &&
      (best === undefined || score > bestScore || identity.proxy < best.proxy);
    if (isBetter) {
      best = identity;
      bestScore = score;
    }
  }
  return best === undefined ? undefined : {identity: best, score: bestScore};
}

/**
 * Picks at most `count` proxies for a name. Each round takes the best of each
 * data centre, so that no centre gets a second before all have one. Linear in
 * the candidates, without a sort of all of them.
 */
export function pickResponsible<P extends PlacedProxy>(
  name: string,
  candidates: CandidateSet<P>,
  count: number,
): P[] {
  const nameHash = hashText(name);
  const taken = new Set<P>();
  while (taken.size < count) {
    const round = [...candidates.values()]
      .map(centre => bestOf(nameHash, centre, taken))
      .filter(best => best !== undefined)
      .sort(compareScored)
      .slice(0, count - taken.size);
    if (round.length === 0) {
      break;
    }
    round.forEach(({identity}) => taken.add(identity));
  }
  return [...taken];
}

/**
 * True if a proxy is among those picked. Mostly settled within its own data
 * centre: who isn't the best there is not in the first round.
 */
export function isPicked(
  name: string,
  candidates: CandidateSet,
  count: number,
  identity: ProxyIdentity,
): boolean {
  const centre = candidates.get(identity.dataCentre);
  if (centre === undefined) {
    return false;
  }
  if (count <= candidates.size) {
    const best = bestOf(hashText(name), centre, new Set());
    if (best?.identity.proxy !== identity.proxy) {
      return false;
    }
  }
  return pickResponsible(name, candidates, count).some(
    ({proxy}) => proxy === identity.proxy,
  );
}
