/** Creates idempotency keys and validates their age. */
import {Failure, IdempotencyKey, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

/** Limits of a key's age in milliseconds. */
export interface KeyAgeLimits {
  /** Time for which targets retain a key. */
  readonly retention: Milliseconds;
  /** A key is refused this long before its retention ends. */
  readonly expiryMargin: Milliseconds;
  /** Time by which a key may be ahead of the proxy's wall clock. */
  readonly clockTolerance: Milliseconds;
}

const RANDOM_DIGIT_COUNT = 24;

/**
 * Returns a function whose keys are unique across processes. `incarnation`
 * identifies the process.
 */
export function createKeyGenerator(
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

/**
 * Returns `KEY_EXPIRED` if targets may not retain the key for long enough,
 * `KEY_FROM_FUTURE` if it was issued too far ahead of this proxy's clock.
 */
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
