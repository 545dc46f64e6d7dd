import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';

import {
  checkKeyAge,
  deriveCommitKey,
  createKeyGenerator,
  formatTransactionId,
  parseTransactionId,
} from '..';

const SEED = 20260101;

describe('a transaction id', () => {
  test('parses into the parts that it was formatted from', () => {
    const partsArbitrary = fc.record(
      {
        proxy: fc.string({unit: 'grapheme', minLength: 1}),
        incarnation: fc.string({minLength: 1}),
        group: fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,62}$/),
        begunAt: fc.integer({min: 1, max: Number.MAX_SAFE_INTEGER}),
        nonce: fc.stringMatching(/^[0-9a-f]{16}$/),
      },
      {noNullPrototype: true},
    );
    fc.assert(
      fc.property(partsArbitrary, parts => {
        const id = formatTransactionId(parts);
        expect(parseTransactionId(id)).toEqual(parts);
        expect(deriveCommitKey(id, parts).issuedAt).toEqual(parts.begunAt);
      }),
      {seed: SEED},
    );
  });

  test('is rejected without an exception if it is any other text', () => {
    const text = fc.oneof(
      fc.string({unit: 'binary'}),
      fc.stringMatching(/^tx1(:[%a-z0-9]{0,4}){5}$/),
    );
    fc.assert(
      fc.property(text, id => {
        const parts = parseTransactionId(id);
        expect(
          parts === undefined || formatTransactionId(parts) === id,
        ).toEqual(true);
      }),
      {seed: SEED, numRuns: 1000},
    );
  });
});

describe('idempotency keys', () => {
  test('are unique and within the age limits when created', () => {
    const timer = createVirtualTimer();
    const runtime = createRuntime({timer, random: createRandom(1)});
    const createKey = createKeyGenerator(runtime, 'incarnation');
    const keys = Array.from({length: 100}, createKey);
    expect(new Set(keys.map(({id}) => id)).size).toEqual(100);
    const limits = {retention: 10, expiryMargin: 1, clockTolerance: 1};
    const failures = keys.map(key =>
      checkKeyAge(key, timer.wallClock(), limits),
    );
    expect(failures.every(failure => failure === undefined)).toEqual(true);
  });

  test('expire before the end of their retention at the targets', () => {
    const limits = {retention: 100, expiryMargin: 20, clockTolerance: 5};
    const key = {id: 'k', issuedAt: 1000};
    const names = [994, 995, 1080, 1081].map(
      clock => checkKeyAge(key, clock, limits)?.name,
    );
    expect(names).toEqual([
      'KEY_FROM_FUTURE',
      undefined,
      undefined,
      'KEY_EXPIRED',
    ]);
  });
});
