/** 32-bit hashes: FNV-1a over text, and the finalizer of MurmurHash3. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const GOLDEN_RATIO = 0x9e3779b1;

/** Mixes two 32-bit numbers into one that depends on every bit of both. */
export function mixHashes(left: number, right: number): number {
  let hash = left ^ Math.imul(right, GOLDEN_RATIO);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixHashes(hash, text.length);
}
