/** Idempotency keys: making them, and judging their age. */
import {Failure, IdempotencyKey, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

/** Bounds of a key's age. */
export interface KeyAgeLimits {
  /** How long targets remember keys. */
  readonly retention: Milliseconds;
  /** A key is refused this long before its targets forget it. */
  readonly expiryMargin: Milliseconds;
  /** A key may lie this far ahead of the proxy's clock. */
  readonly clockTolerance: Milliseconds;
}

const RANDOM_DIGITS = 24;

/** Creates keys that no other process creates. */
export function createKeyMaker(
  runtime: Runtime,
  incarnation: string,
): () => IdempotencyKey {
  const {timer, random} = runtime;
  let count = 0;
  return () => {
    count += 1;
    const id = `${incarnation}-${count}-${random.hexadecimal(RANDOM_DIGITS)}`;
    return {id, issuedAt: Math.max(1, timer.wallClock())};
  };
}

/** The failure of a key that is too old: this sending runs nothing. */
export function keyExpired(): Failure {
  // An earlier sending may have run and been forgotten.
  const message =
    'The key is past its retention. Nothing was run now; an earlier sending ' +
    'with this key may have been.';
  return createFailure('KEY_EXPIRED', {message});
}

/** Gives a failure if targets can't be relied on to remember the key. */
export function checkKeyAge(
  key: IdempotencyKey,
  wallClock: Milliseconds,
  limits: KeyAgeLimits,
): Failure | undefined {
  const age = wallClock - key.issuedAt;
  if (age > limits.retention - limits.expiryMargin) {
    return keyExpired();
  }
  if (age < -limits.clockTolerance) {
    return createFailure('KEY_FROM_FUTURE');
  }
  return undefined;
}
