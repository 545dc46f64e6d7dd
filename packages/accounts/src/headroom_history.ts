/**
 * Bounds the tokens that come back to a bucket when a granted operation did not
 * run. Does no I/O.
 *
 * Load pattern: targets refuse many granted operations of one account, whose
 * returns arrive hundreds of milliseconds after the grants. A return restores
 * at most the tokens that the bucket would hold if the operation had never been
 * granted; adding more would allow two bursts within one window.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Recent headroom of one bucket: its capacity less its tokens. */
export interface HeadroomHistory {
  /** Records the headroom after a refill, before anything is taken. */
  record(headroom: number, now: Milliseconds): void;
  /**
   * Returns how many of `count` tokens granted at `grantedAt` may be restored,
   * and counts them as restored.
   */
  restore(count: number, grantedAt: Milliseconds, now: Milliseconds): number;
}

/**
 * Age of a grant beyond which nothing is restored: above the statement timeouts
 * of usual routes, which are 2 s.
 */
const MAXIMUM_GRANT_AGE_MS: Milliseconds = 4000;
/** Entries above this number are merged if they are closer than `MERGED_MS`. */
const UNMERGED_ENTRY_COUNT = 64;
const MERGED_MS: Milliseconds = 10;

interface Entry {
  readonly at: Milliseconds;
  readonly headroom: number;
}

/** Creates an empty history. */
export function createHeadroomHistory(): HeadroomHistory {
  /** Oldest first; an entry that a later one undercuts is left out. */
  let entries: Entry[] = [];

  function removeOld(now: Milliseconds): void {
    const oldest = now - MAXIMUM_GRANT_AGE_MS;
    while (entries[0] !== undefined && entries[0].at < oldest) {
      entries.shift();
    }
  }

  function lastHeadroom(): number {
    return entries.at(-1)?.headroom ?? -Infinity;
  }

  return {
    record(headroom, now) {
      removeOld(now);
      while (lastHeadroom() >= headroom) {
        entries.pop();
      }
      const last = entries.at(-1);
      const isMerged =
        last !== undefined &&
        entries.length > UNMERGED_ENTRY_COUNT &&
        now - last.at < MERGED_MS;
      if (isMerged) {
        entries.pop();
      }
      entries.push({at: now, headroom: isMerged ? last.headroom : headroom});
    },
    restore(count, grantedAt, now) {
      if (grantedAt > now || grantedAt < now - MAXIMUM_GRANT_AGE_MS) {
        return 0;
      }
      // The entry at the time of the grant was recorded before it.
      const since = entries.filter(({at}) => at > grantedAt);
      const minimum = Math.min(...since.map(({headroom}) => headroom));
      const restored = Math.max(0, Math.min(count, minimum));
      entries = entries.map(({at, headroom}) =>
        at > grantedAt ? {at, headroom: headroom - restored} : {at, headroom},
      );
      return restored;
    },
  };
}
