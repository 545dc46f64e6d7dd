/** Keys of client accounts are kept and compared as digests. */
import {createHash} from 'node:crypto';

/** Bytes kept of a digest: enough that no two keys are ever taken for one. */
const DIGEST_BYTES = 16;

/** Digest of a key, given as the bytes that were sent. */
export function digestKey(key: Uint8Array): string {
  const digest = createHash('sha256').update(key).digest();
  return digest.subarray(0, DIGEST_BYTES).toString('base64url');
}
