/**
 * Formats and parses transaction ids. An id contains the proxy that owns the
 * transaction, so that any proxy can forward to it, and the data of the
 * commit's idempotency key, so that any proxy can settle the commit after the
 * owner has stopped.
 */
import type {IdempotencyKey} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** Parsed transaction id. */
export interface TransactionIdParts {
  /** Id of the owning proxy. */
  readonly proxy: string;
  readonly incarnation: string;
  readonly group: string;
  /** Wall clock at the begin, in milliseconds since 1970. */
  readonly begunAt: Milliseconds;
  /** Random part of the id: `NONCE_DIGIT_COUNT` hexadecimal digits. */
  readonly nonce: string;
}

const PREFIX = 'tx1';
const SEPARATOR = ':';
const PART_COUNT = 6;
const TIME_RADIX = 36;
/** Number of hexadecimal digits of the nonce. */
export const NONCE_DIGIT_COUNT = 16;

export function formatTransactionId(parts: TransactionIdParts): string {
  return [
    PREFIX,
    encodeURIComponent(parts.proxy),
    encodeURIComponent(parts.incarnation),
    parts.group,
    parts.begunAt.toString(TIME_RADIX),
    parts.nonce,
  ].join(SEPARATOR);
}

function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

/**
 * Parses an id. Returns `undefined` for any text that `formatTransactionId`
 * does not produce.
 */
export function parseTransactionId(id: string): TransactionIdParts | undefined {
  const fields = id.split(SEPARATOR);
  if (fields.length !== PART_COUNT || fields[0] !== PREFIX) {
    return undefined;
  }
  const [, proxyPart = '', incarnationPart = '', group = '', time = ''] =
    fields;
  const proxy = decodePart(proxyPart);
  const incarnation = decodePart(incarnationPart);
  const begunAt = parseInt(time, TIME_RADIX);
  const nonce = fields[PART_COUNT - 1] ?? '';
  if (proxy === undefined || incarnation === undefined || !(begunAt > 0)) {
    return undefined;
  }
  const parts = {proxy, incarnation, group, begunAt, nonce};
  return formatTransactionId(parts) === id ? parts : undefined;
}

/** Returns the key of a commit for which the caller passed none. */
export function deriveCommitKey(
  id: string,
  parts: TransactionIdParts,
): IdempotencyKey {
  return {id, issuedAt: parts.begunAt};
}
