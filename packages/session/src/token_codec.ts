/**
 * Encodes session tokens as text: base64url of
 * `version, (name length, name, term, position)..., CRC-32`, with groups in
 * ascending order of their names and numbers as variable-length integers. Each
 * session has exactly one encoding; any other is refused. The checksum detects
 * damage but not forgery: a forged token only makes its own caller wait.
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
const MAXIMUM_TOKEN_BYTES = Math.floor(
  MAXIMUM_TOKEN_LENGTH / BASE64_CHARACTERS_PER_BYTE,
);
const GROUP_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

function badToken(message: string): Err<Failure> {
  return Err(createFailure('BAD_TOKEN', {message}));
}

function pushInteger(bytes: number[], value: number): void {
  let remaining = value;
  while (remaining >= 0x80) {
    bytes.push((remaining % 0x80) | 0x80);
    remaining = Math.floor(remaining / 0x80);
  }
  bytes.push(remaining);
}

/**
 * Reads bytes in order. An integer is `undefined` past the end, if it is not in
 * its shortest form, or if it is not a safe integer.
 */
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
        const isMinimal = byte > 0 || count === 0;
        return isMinimal && Number.isSafeInteger(value) ? value : undefined;
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

function compareNames(
  left: [string, unknown],
  right: [string, unknown],
): number {
  return left[0] < right[0] ? -1 : 1;
}

function encodeBytes(session: Session): Buffer {
  const bytes: number[] = [TOKEN_VERSION];
  for (const [group, {term, position}] of [...session].sort(compareNames)) {
    pushInteger(bytes, group.length);
    bytes.push(...Buffer.from(group, 'latin1'));
    pushInteger(bytes, term);
    pushInteger(bytes, position);
  }
  const checksum = Buffer.alloc(CHECKSUM_BYTES);
  checksum.writeUInt32BE(crc32(Buffer.from(bytes)));
  return Buffer.concat([Buffer.from(bytes), checksum]);
}

/** Encodes a session; the token of an empty session is the empty string. */
export function encodeToken(session: Session): string {
  if (session.size === 0) {
    return '';
  }
  return encodeBytes(session).toString('base64url');
}

/**
 * True if the session's token fits `MAXIMUM_TOKEN_LENGTH` for all positions,
 * also after adding `group`. Check this before a request runs, because its
 * answer must not fail for lack of room in the token.
 */
export function hasRoom(session: Session, group: string): boolean {
  if (session.size === 0) {
    return true;
  }
  let bytes = 1 + CHECKSUM_BYTES;
  for (const name of new Set([...session.keys(), group])) {
    bytes += 1 + name.length + 2 * MAXIMUM_INTEGER_BYTES;
  }
  return bytes <= MAXIMUM_TOKEN_BYTES;
}

/** Decodes groups; `undefined` for bytes that the encoder never produces. */
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

/** Decodes a token; fails with `BAD_TOKEN` unless `encodeToken` produces it. */
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
  // Integers and order are checked while reading; base64url is checked here.
  if (session === undefined || bytes.toString('base64url') !== token) {
    return badToken('The session token is malformed.');
  }
  return Ok(session);
}
