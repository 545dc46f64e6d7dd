/** Digests by which the keys of client accounts are stored and compared. */
import {createHash} from 'node:crypto';

/** Digests are truncated to 128 bits, which makes collisions negligible. */
const DIGEST_BYTES = 16;

/** Base64url digest of a key's bytes. */
export function digestKey(key: Uint8Array): string {
  const digest = createHash('sha256').update(key).digest();
  return digest.subarray(0, DIGEST_BYTES).toString('base64url');
}
