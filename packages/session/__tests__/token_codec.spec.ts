import {MAXIMUM_TOKEN_LENGTH} from '@kelpstep/protocol';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';
import {crc32} from 'node:zlib';

import {
  EMPTY_SESSION,
  Session,
  decodeToken,
  encodeToken,
  hasRoom,
  mergeSessions,
  positionOf,
  withPosition,
} from '..';

const SEED = 20260101;
const counter = fc.integer({min: 1, max: Number.MAX_SAFE_INTEGER});
const group = fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,62}$/);
const logPosition = fc.record(
  {term: counter, position: counter},
  {noNullPrototype: true},
);
const sessions: fc.Arbitrary<Session> = fc
  .array(fc.tuple(group, logPosition), {maxLength: 30})
  .map(entries => new Map(entries));

function check<T>(property: fc.IProperty<T>): void {
  fc.assert(property, {seed: SEED, numRuns: 500});
}

describe('a session token', () => {
  test('decodes to the session that it was encoded from', () => {
    check(
      fc.property(sessions, session => {
        const decoded = decodeToken(encodeToken(session)).unwrap();
        expect([...decoded].sort()).toEqual([...session].sort());
      }),
    );
  });

  test('is refused with a failure, not an exception, for any other text', () => {
    const texts = fc.oneof(
      fc.string({maxLength: 200, unit: 'binary'}),
      fc.base64String({maxLength: 200}),
      fc.string({minLength: MAXIMUM_TOKEN_LENGTH + 1, maxLength: 5000}),
    );
    check(
      fc.property(texts, text => {
        const decoded = decodeToken(text);
        expect(decoded.ok ? text : decoded.val.name).toEqual(
          decoded.ok ? encodeToken(decoded.val) : 'BAD_TOKEN',
        );
      }),
    );
  });

  test('is refused in any other encoding of the same session', () => {
    const name = (text: string) => [text.length, ...Buffer.from(text)];
    const seal = (...bytes: number[]) => {
      const checksum = Buffer.alloc(4);
      checksum.writeUInt32BE(crc32(Buffer.from(bytes)));
      return Buffer.concat([Buffer.from(bytes), checksum]);
    };
    const plain = seal(1, ...name('a'), 5, 7, ...name('b'), 5, 7);
    const others = [
      seal(1),
      seal(1, ...name('a'), 0x85, 0, 7),
      seal(1, ...name('a'), 5, 0x87, 0x80, 0),
      seal(0x81, 0, ...name('a'), 5, 7),
      seal(1, ...name('b'), 5, 7, ...name('a'), 5, 7),
      seal(1, ...name('a'), 5, 7, ...name('a'), 5, 7),
    ];
    expect(decodeToken(plain.toString('base64url')).ok).toEqual(true);
    for (const bytes of others) {
      expect(decodeToken(bytes.toString('base64url')).ok).toEqual(false);
    }
    expect(decodeToken(`${plain.toString('base64url')}=`).ok).toEqual(false);
  });

  test('is refused once any character is changed', () => {
    check(
      fc.property(sessions, fc.nat(), fc.nat(63), (session, at, digit) => {
        const token = encodeToken(session);
        fc.pre(token !== '');
        const index = at % token.length;
        const letters =
          'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';
        fc.pre(token[index] !== letters[digit]);
        const changed =
          token.slice(0, index) + letters[digit] + token.slice(index + 1);
        expect(decodeToken(changed).ok).toEqual(false);
      }),
    );
  });

  test('stays within the maximum length while it has room', () => {
    const largest = {
      term: Number.MAX_SAFE_INTEGER,
      position: Number.MAX_SAFE_INTEGER,
    };
    let session = EMPTY_SESSION;
    let count = 0;
    while (hasRoom(session, `g-${count}`)) {
      session = withPosition(session, `g-${count}`, largest);
      count++;
    }
    expect(encodeToken(session).length <= MAXIMUM_TOKEN_LENGTH).toEqual(true);
    expect(decodeToken(encodeToken(session)).ok).toEqual(true);
    expect(count > 100).toEqual(true);
    expect(hasRoom(session, 'g-0')).toEqual(true);
  });

  test('keeps the higher position of each group when sessions are merged', () => {
    check(
      fc.property(sessions, sessions, (left, right) => {
        const merged = mergeSessions(left, right);
        expect([...mergeSessions(right, left)].sort()).toEqual(
          [...merged].sort(),
        );
        expect(mergeSessions(merged, left)).toEqual(merged);
      }),
    );
    const seen = withPosition(EMPTY_SESSION, 'a', {term: 2, position: 5});
    const older = withPosition(seen, 'a', {term: 1, position: 9});
    expect(positionOf(older, 'a')).toEqual({term: 2, position: 5});
  });
});
