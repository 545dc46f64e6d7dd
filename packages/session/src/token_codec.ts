/**
 * Session tokens as text: base64url of
 * `version, (name length, name, term, position)..., CRC-32`, groups in rising
 * order of their names, numbers as variable-length integers. A session has
 * one encoding only; whatever differs from it is refused. The checksum finds
 * damage, not forgery: a forged token only makes its own caller wait.
 */
import {
  Failure,
  LogPosition,
  MAXIMUM_TOKEN_LENGTH,
  createFailure,
} from '@kelpstep/protocol';
import {Err, Ok, Result} from 'ts-results';
import {crc32} from 'node:zlib';

import {EMPTY_SESSION, Session} from './session';

const TOKEN_VERSION = 1;
const CHECKSUM_BYTES = 4;
const MAXIMUM_INTEGER_BYTES = 8;
const BASE64_CHARACTERS_PER_BYTE = 4 / 3;
const MAXIMUM_BYTES = Math.floor(
  MAXIMUM_TOKEN_LENGTH / BASE64_CHARACTERS_PER_BYTE,
);
const GROUP_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

function badToken(message: string): Err<Failure> {
  return Err(createFailure('BAD_TOKEN', {message}));
}

function pushInteger(bytes: number[], value: number): void {
  let rest = value;
  while (rest >= 0x80) {
    bytes.push((rest % 0x80) | 0x80);
    rest = Math.floor(rest / 0x80);
  }
  bytes.push(rest);
}

/** Reads bytes in order; `undefined` past the end or for an odd number. */
function createReader(bytes: Uint8Array) {
  let offset = 0;

  function readInteger(): number | undefined {
    let value = 0;
    let factor = 1;
    for (let count = 0; count < MAXIMUM_INTEGER_BYTES; count++) {
      const byte = bytes[offset++];
      if (byte === undefined) {
        return undefined;
      }
      value += (byte & 0x7f) * factor;
      factor *= 0x80;
      if (byte < 0x80) {
        const isShortest = byte > 0 || count === 0;
        return isShortest && Number.isSafeInteger(value) ? value : undefined;
      }
    }
    return undefined;
  }

  function readText(length: number): string {
    const text = Buffer.from(bytes.subarray(offset, offset + length));
    offset += length;
    return text.toString('latin1');
  }

  return {readInteger, readText, isAtEnd: () => offset >= bytes.length};
}

function byName(left: [string, unknown], right: [string, unknown]): number {
  return left[0] < right[0] ? -1 : 1;
}

function encodeBytes(session: Session): Buffer {
  const bytes: number[] = [TOKEN_VERSION];
  for (const [group, {term, position}] of [...session].sort(byName)) {
    pushInteger(bytes, group.length);
    bytes.push(...Buffer.from(group, 'latin1'));
    pushInteger(bytes, term);
    pushInteger(bytes, position);
  }
  const checksum = Buffer.alloc(CHECKSUM_BYTES);
  checksum.writeUInt32BE(crc32(Buffer.from(bytes)));
  return Buffer.concat([Buffer.from(bytes), checksum]);
}

/** Gives a session's token; the empty text for one that has seen nothing. */
export function encodeToken(session: Session): string {
  if (session.size === 0) {
    return '';
  }
  return encodeBytes(session).toString('base64url');
}

/**
 * True if the session's token stays within `MAXIMUM_TOKEN_LENGTH` whatever
 * positions come, also with `group` added. Ask before a request runs: its
 * answer must not be the first to find that the token has no room.
 */
export function hasRoom(session: Session, group: string): boolean {
  if (session.size === 0) {
    return true;
  }
  let bytes = 1 + CHECKSUM_BYTES;
  for (const name of new Set([...session.keys(), group])) {
    bytes += 1 + name.length + 2 * MAXIMUM_INTEGER_BYTES;
  }
  return bytes <= MAXIMUM_BYTES;
}

/** Gives `undefined` for bytes that the encoder doesn't make. */
function readGroups(body: Uint8Array): Session | undefined {
  const reader = createReader(body);
  const session = new Map<string, LogPosition>();
  let previous = '';
  if (reader.readInteger() !== TOKEN_VERSION) {
    return undefined;
  }
  while (!reader.isAtEnd()) {
    const group = reader.readText(reader.readInteger() ?? 0);
    const term = reader.readInteger();
    const position = reader.readInteger();
    if (!GROUP_NAME.test(group) || !term || !position || group <= previous) {
      return undefined;
    }
    previous = group;
    session.set(group, {term, position});
  }
  return session.size === 0 ? undefined : session;
}

/** Reads a token; `BAD_TOKEN` unless it is one that `encodeToken` gives. */
export function decodeToken(token: string): Result<Session, Failure> {
  if (token === '') {
    return Ok(EMPTY_SESSION);
  }
  if (token.length > MAXIMUM_TOKEN_LENGTH) {
    return badToken('The session token is too long.');
  }
  const bytes = Buffer.from(token, 'base64url');
  const bodyLength = bytes.length - CHECKSUM_BYTES;
  if (bodyLength < 1) {
    return badToken('The session token is too short.');
  }
  const body = bytes.subarray(0, bodyLength);
  if (bytes.readUInt32BE(bodyLength) !== crc32(body)) {
    return badToken('The session token is damaged.');
  }
  const session = readGroups(body);
  // Integers, order and base64 are each as the encoder makes them.
  if (session === undefined || bytes.toString('base64url') !== token) {
    return badToken('The session token is malformed.');
  }
  return Ok(session);
}
