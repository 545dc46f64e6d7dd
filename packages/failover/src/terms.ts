/**
 * Numbers of terms. A term is `counter * 65536 + number of the promoter`, so
 * that promoters with different numbers never try the same term. Should two
 * share a number, a term still has one promoter at most: a member grants a
 * fence only above every term it has seen, hence each term once, and both
 * would need a majority.
 */
import type {ProxyIdentity} from '@kelpstep/protocol';

/** How many numbers of promoters there are. */
export const PROMOTER_NUMBERS = 65_536;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The number of a promoter, from a hash of its id and incarnation. */
export function promoterNumberOf(
  identity: Pick<ProxyIdentity, 'proxy' | 'incarnation'>,
): number {
  let hash = FNV_OFFSET;
  for (const character of `${identity.proxy}/${identity.incarnation}`) {
    hash ^= character.codePointAt(0) ?? 0;
    hash = Math.imul(hash, FNV_PRIME) >>> 0;
  }
  return ((hash ^ (hash >>> 16)) >>> 0) % PROMOTER_NUMBERS;
}

/** The lowest term of this promoter that is higher than `highest`. */
export function nextTerm(highest: number, promoterNumber: number): number {
  const counter = Math.floor(highest / PROMOTER_NUMBERS) + 1;
  return counter * PROMOTER_NUMBERS + promoterNumber;
}
