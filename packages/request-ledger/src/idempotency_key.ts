/** Creates idempotency keys and validates their age. */
import {Failure, IdempotencyKey, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

/** Limits of a key's age. */
export interface KeyAgeLimits {
  /** How long targets remember keys. */
  readonly retention: Milliseconds;
  /** How long before the end of its retention a key is refused. */
  readonly expiryMargin: Milliseconds;
  /** How far a key may be ahead of the proxy's wall clock. */
  readonly clockTolerance: Milliseconds;
}

const RANDOM_DIGIT_COUNT = 24;

/** Returns a generator of keys that are unique across processes. */
export function createKeyMaker(
  runtime: Runtime,
  incarnation: string,
): () => IdempotencyKey {
  const {timer, random} = runtime;
  let count = 0;
  return () => {
    count += 1;
    const id = `${incarnation}-${count}-${random.hexadecimal(RANDOM_DIGIT_COUNT)}`;
    return {id, issuedAt: Math.max(1, timer.wallClock())};
  };
}

/** Creates the failure of an expired key, for an attempt that ran nothing. */
export function createKeyExpiredFailure(): Failure {
  // An earlier attempt may have run and its record may have been removed.
  const message =
    'The key is past its retention. Nothing was run now; an earlier sending ' +
    'with this key may have been.';
  return createFailure('KEY_EXPIRED', {message});
}

/** Returns a failure if targets may not retain the key for long enough. */
export function checkKeyAge(
  key: IdempotencyKey,
  wallClock: Milliseconds,
  limits: KeyAgeLimits,
): Failure | undefined {
  const age = wallClock - key.issuedAt;
  if (age > limits.retention - limits.expiryMargin) {
    return createKeyExpiredFailure();
  }
  if (age < -limits.clockTolerance) {
    return createFailure('KEY_FROM_FUTURE');
  }
  return undefined;
}
