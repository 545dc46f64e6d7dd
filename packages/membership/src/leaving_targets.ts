/** Targets that the platform's list calls leaving, as heard lately. */
import type {LeavingTarget} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Leaving targets. */
export interface LeavingTargets {
  /** Notes that a target is leaving; true if that is news to pass on. */
  note(target: LeavingTarget): boolean;
  /** True if the member at this address is leaving. */
  includes(target: LeavingTarget): boolean;
  /** Drops what was not confirmed for long; true if anything was. */
  forgetExpired(): boolean;
}

/** A target that nobody calls leaving for this long no longer is. */
export const LEAVING_TARGET_LIFETIME: Milliseconds = 60_000;

function keyOf({id, address}: LeavingTarget): string {
  return `${id} ${address}`;
}

/** Creates an empty set. */
export function createLeavingTargets(timer: TimerService): LeavingTargets {
  const expiryByKey = new Map<string, Milliseconds>();

  function isFresh(target: LeavingTarget, remaining: Milliseconds): boolean {
    const expiry = expiryByKey.get(keyOf(target));
    return expiry !== undefined && expiry - timer.now() > remaining;
  }

  return {
    note(target) {
      // Passed on again only when half of its life is over: an echo of what
      // is still being spread renews nothing, so that it can expire.
      if (isFresh(target, LEAVING_TARGET_LIFETIME / 2)) {
        return false;
      }
      expiryByKey.set(keyOf(target), timer.now() + LEAVING_TARGET_LIFETIME);
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
