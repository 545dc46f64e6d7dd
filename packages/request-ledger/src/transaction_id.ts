/**
 * Transaction ids. An id names the proxy that holds the transaction, so that
 * any proxy can find it, and holds what its commit's key is made of, so that
 * any proxy can settle the commit once its owner is gone.
 */
import type {IdempotencyKey} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** The parts of a transaction id. */
export interface TransactionName {
  /** Owner's proxy id. */
  readonly proxy: string;
  readonly incarnation: string;
  readonly group: string;
  /** Wall clock at the begin, milliseconds since 1970. */
  readonly begunAt: Milliseconds;
  /** Random text. */
  readonly nonce: string;
}

const PREFIX = 'tx1';
const SEPARATOR = ':';
const PART_COUNT = 6;
const TIME_RADIX = 36;
/** Digits of the random part. */
export const NONCE_DIGITS = 16;

/** Gives the id. */
export function formatTransactionId(name: TransactionName): string {
  return [
    PREFIX,
    encodeURIComponent(name.proxy),
    encodeURIComponent(name.incarnation),
    name.group,
    name.begunAt.toString(TIME_RADIX),
    name.nonce,
  ].join(SEPARATOR);
}

function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

/** Reads an id; `undefined` unless `formatTransactionId` gives it. */
export function parseTransactionId(id: string): TransactionName | undefined {
  const parts = id.split(SEPARATOR);
  if (parts.length !== PART_COUNT || parts[0] !== PREFIX) {
    return undefined;
  }
  const [, proxyPart = '', incarnationPart = '', group = '', time = ''] = parts;
  const proxy = decodePart(proxyPart);
  const incarnation = decodePart(incarnationPart);
  const begunAt = parseInt(time, TIME_RADIX);
  const nonce = parts[PART_COUNT - 1] ?? '';
  if (proxy === undefined || incarnation === undefined || !(begunAt > 0)) {
    return undefined;
  }
  const name = {proxy, incarnation, group, begunAt, nonce};
  return formatTransactionId(name) === id ? name : undefined;
}

/** The key of a commit for which its caller gave none. */
export function commitKeyOf(id: string, name: TransactionName): IdempotencyKey {
  return {id, issuedAt: name.begunAt};
}
