/**
 * Allocates terms. A term is `counter * 65536 + promoter number`, so that
 * promoters with different numbers never use the same term. If two promoters
 * share a number, at most one can still succeed in a term: a member grants a
 * fence only above every term it has seen, hence once per term, and a promoter
 * needs the fences of a majority.
 */
import type {ProxyIdentity} from '@kelpstep/protocol';

/** Promoter numbers range from 0 to one less than this. */
export const PROMOTER_NUMBER_COUNT = 65_536;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a proxy's id and incarnation to its promoter number. */
export function promoterNumberOf(
  identity: Pick<ProxyIdentity, 'proxy' | 'incarnation'>,
): number {
  let hash = FNV_OFFSET;
  for (const character of `${identity.proxy}/${identity.incarnation}`) {
    hash ^= character.codePointAt(0) ?? 0;
    hash = Math.imul(hash, FNV_PRIME) >>> 0;
  }
  return ((hash ^ (hash >>> 16)) >>> 0) % PROMOTER_NUMBER_COUNT;
}

/** Returns a term of this promoter that is higher than `highest`. */
export function nextTerm(highest: number, promoterNumber: number): number {
  const counter = Math.floor(highest / PROMOTER_NUMBER_COUNT) + 1;
  return counter * PROMOTER_NUMBER_COUNT + promoterNumber;
}
