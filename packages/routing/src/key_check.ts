/** Checks the age of idempotency keys against the manifest in force. */
import type {Manifest} from '@kelpstep/manifest';
import type {Failure, IdempotencyKey} from '@kelpstep/protocol';
import {checkKeyAge} from '@kelpstep/request-ledger';
import type {TimerService} from '@kelpstep/runtime';

import type {RequestLimits} from './limits';

/**
 * Returns a failure if the key is too old for the manifest's retention or was
 * issued too far in the future.
 */
export type KeyCheck = (
  key: IdempotencyKey,
  manifest: Manifest,
) => Failure | undefined;

export function createKeyCheck(
  timer: TimerService,
  limits: RequestLimits,
): KeyCheck {
  return (key, {keyRetention}) =>
    checkKeyAge(key, timer.wallClock(), {
      retention: keyRetention,
      expiryMargin: Math.min(limits.keyExpiryMargin, keyRetention / 2),
      clockTolerance: limits.clockTolerance,
    });
}
