/** Rendezvous hashing over proxies, spread over data centres. */
import type {ProxyIdentity} from '@kelpstep/protocol';

import {hashText, mixHashes} from './hash';

/** A proxy that may be picked, with the hash of its id. */
export interface Candidate {
  readonly identity: ProxyIdentity;
  readonly hash: number;
}

interface Scored {
  readonly candidate: Candidate;
  readonly score: number;
}

/** Prepares a proxy for picking: its id counts, not its incarnation. */
export function createCandidate(identity: ProxyIdentity): Candidate {
  return {identity, hash: hashText(identity.proxy)};
}

function isHigher(left: Scored, right: Scored): boolean {
  return (
    left.score > right.score ||
    (left.score === right.score &&
      left.candidate.identity.proxy < right.candidate.identity.proxy)
  );
}

/** The best of each data centre among those that are not taken. */
function bestByDataCentre(
  nameHash: number,
  candidates: readonly Candidate[],
  taken: ReadonlySet<Candidate>,
): Scored[] {
  const best = new Map<string, Scored>();
  for (const candidate of candidates) {
    if (taken.has(candidate)) {
      continue;
    }
    const scored = {candidate, score: mixHashes(nameHash, candidate.hash)};
    const {dataCentre} = candidate.identity;
    const highest = best.get(dataCentre);
    if (highest === undefined || isHigher(scored, highest)) {
      best.set(dataCentre, scored);
    }
  }
  return [...best.values()].sort((left, right) =>
    isHigher(left, right) ? -1 : 1,
  );
}

/**
 * Picks at most `count` proxies for a name. Each round takes the best of each
 * data centre, so that no centre gets a second before all have one. Linear in
 * the candidates, without a sort of all of them.
 */
export function pickResponsible(
  name: string,
  candidates: readonly Candidate[],
  count: number,
): ProxyIdentity[] {
  const nameHash = hashText(name);
  const taken = new Set<Candidate>();
  while (taken.size < Math.min(count, candidates.length)) {
    for (const {candidate} of bestByDataCentre(nameHash, candidates, taken)) {
      if (taken.size < count) {
        taken.add(candidate);
      }
    }
  }
  return [...taken].map(candidate => candidate.identity);
}
