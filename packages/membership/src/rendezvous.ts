/**
 * Rendezvous hashing over proxies that spreads the choice over data centres.
 */
import type {ProxyIdentity} from '@kelpstep/protocol';

import {hashText, mixHashes} from './hash';

/** Proxy id and data centre, the inputs of the selection. */
export type LocatedProxy = Pick<ProxyIdentity, 'proxy' | 'dataCentre'>;

/** Candidates of one data centre; `hashes` has the order of `identities`. */
interface DataCentreCandidates<P extends LocatedProxy> {
  readonly identities: readonly P[];
  /**
   * Hashes of the proxy ids, so a restarted proxy keeps its responsibilities.
   */
  readonly hashes: Uint32Array;
  /** Weights in the same order; undefined if all candidates weigh the same. */
  readonly weights: Float64Array | undefined;
}

/** Candidates for `pickResponsible`, keyed by data centre. */
export type CandidateSet<P extends LocatedProxy = ProxyIdentity> = ReadonlyMap<
  string,
  DataCentreCandidates<P>
>;

interface Scored<P extends LocatedProxy> {
  readonly identity: P;
  readonly score: number;
}

const HASH_RANGE = 2 ** 32;

/**
 * Score of a candidate: an exponential variate's reciprocal, times the weight.
 * The highest of such scores is a candidate's with a probability in proportion
 * to its weight. The score grows with the hash, so equal weights leave the
 * order of the hashes.
 */
function weightedScore(hash: number, weight: number): number {
  // The middle of the hash's interval, because 0 and 1 have no finite score.
  return -weight / Math.log((hash + 0.5) / HASH_RANGE);
}

function haveEqualWeights<P>(
  identities: readonly P[],
  weight: (identity: P) => number,
): boolean {
  const [first] = identities;
  return (
    first === undefined ||
    identities.every(identity => weight(identity) === weight(first))
  );
}

/**
 * Groups proxies by data centre and hashes their ids. `weight` returns a
 * positive number. Within its data centre, a proxy is picked in proportion to
 * its weight.
 */
export function createCandidateSet<P extends LocatedProxy>(
  identities: readonly P[],
  weight: (identity: P) => number = () => 1,
): CandidateSet<P> {
  const areEqual = haveEqualWeights(identities, weight);
  const byDataCentre = new Map<string, P[]>();
  for (const identity of identities) {
    const centre = byDataCentre.get(identity.dataCentre) ?? [];
    centre.push(identity);
    byDataCentre.set(identity.dataCentre, centre);
  }
  const set = new Map<string, DataCentreCandidates<P>>();
  for (const [dataCentre, members] of byDataCentre) {
    const hashes = Uint32Array.from(members, ({proxy}) => hashText(proxy));
    const weights = areEqual ? undefined : Float64Array.from(members, weight);
    set.set(dataCentre, {identities: members, hashes, weights});
  }
  return set;
}

/** Returns the candidates of one data centre; empty if there are none. */
export function onlyFrom(set: CandidateSet, dataCentre: string): CandidateSet {
  const centre = set.get(dataCentre);
  return new Map(centre === undefined ? [] : [[dataCentre, centre]]);
}

/** Orders equal scores by id, so that all proxies make the same choice. */
function compareScored(
  left: Scored<LocatedProxy>,
  right: Scored<LocatedProxy>,
): number {
  const byId = left.identity.proxy < right.identity.proxy ? -1 : 1;
  return right.score - left.score || byId;
}

/**
 * Best candidate of one data centre; its loop over the candidates allocates
 * nothing.
 */
function bestOf<P extends LocatedProxy>(
  nameHash: number,
  {identities, hashes, weights}: DataCentreCandidates<P>,
  taken: ReadonlySet<P>,
): Scored<P> | undefined {
  let best: P | undefined;
  let bestScore = 0;
  for (let index = 0; index < hashes.length; index++) {
    const hash = mixHashes(nameHash, hashes[index] ?? 0);
    const score =
      weights === undefined ? hash : weightedScore(hash, weights[index] ?? 1);
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
 * Picks at most `count` proxies for a name. Each round picks the best candidate
 * of each data centre, so that none has a second before all have one. A round
 * takes time linear in the number of candidates, which are not sorted as a
 * whole.
 */
export function pickResponsible<P extends LocatedProxy>(
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
 * True if a proxy is picked for a name. If `count` is at most the number of
 * data centres, this is usually decided within the proxy's own one, because
 * only the best candidate there can be picked.
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
