/** Targets that the platform's list recently showed as leaving. */
import type {LeavingTarget} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Expiring set of leaving targets. */
export interface LeavingTargets {
  /** Adds or refreshes a target; returns true if it must be forwarded. */
  addOrRefresh(target: LeavingTarget): boolean;
  /** True if the target with this id and address is leaving. */
  includes(target: LeavingTarget): boolean;
  /** Removes expired targets; returns true if there were any. */
  forgetExpired(): boolean;
}

/**
 * Time without confirmation after which a target no longer counts as leaving.
 */
export const LEAVING_TARGET_LIFETIME_MS: Milliseconds = 60_000;

function keyOf({id, address}: LeavingTarget): string {
  return `${id} ${address}`;
}

export function createLeavingTargets(timer: TimerService): LeavingTargets {
  const expiryByKey = new Map<string, Milliseconds>();

  function isFresh(target: LeavingTarget, remaining: Milliseconds): boolean {
    const expiry = expiryByKey.get(keyOf(target));
    return expiry !== undefined && expiry - timer.now() > remaining;
  }

  return {
    addOrRefresh(target) {
      // An entry is refreshed only after half of its lifetime: gossip that
      // still circulates must not renew it, or it would never expire.
      if (isFresh(target, LEAVING_TARGET_LIFETIME_MS / 2)) {
        return false;
      }
      expiryByKey.set(keyOf(target), timer.now() + LEAVING_TARGET_LIFETIME_MS);
      return true;
    },
    includes: target => isFresh(target, 0),
    forgetExpired() {
      let forgotten = false;
      for (const [key, expiry] of expiryByKey) {
        if (expiry <= timer.now()) {
          expiryByKey.delete(key);
          forgotten = true;
        }
      }
      return forgotten;
    },
  };
}
