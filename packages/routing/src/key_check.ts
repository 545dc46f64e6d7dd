/** The check of a key's age against the manifest in force. */
import type {Manifest} from '@kelpstep/manifest';
import type {Failure, IdempotencyKey} from '@kelpstep/protocol';
import {checkKeyAge} from '@kelpstep/request-ledger';
import type {TimerService} from '@kelpstep/runtime';

import type {RequestLimits} from './limits';

/** Gives a failure if targets can't be relied on to remember the key. */
export type KeyCheck = (
  key: IdempotencyKey,
  manifest: Manifest,
) => Failure | undefined;

/** Creates the check. */
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
