/**
 * When a lost primary is expected back, so that a statement which can't wait that
 * long is refused at once, with the time to come back.
 *
 * Load pattern: a primary dies under load and each caller's statement needs it. Held
 * to the end of its time, a statement uses up its session and one of few retries.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Expects primaries back by how long earlier ones were away. */
export interface PrimaryReturn {
  /** Tells whether the group has a primary that takes statements. */
  note(group: string, hasPrimary: boolean, now: Milliseconds): void;
  /**
   * Time until the group's primary is expected back; 0 if none was lost: right
   * after the start it is only not known yet.
   */
  expected(group: string, now: Milliseconds): Milliseconds;
}

/**
 * Guess before any primary was seen to return: a promotion takes 300 to 1,000 ms
 * (deployments of the brief). Too long, it refuses what could have waited.
 */
const FIRST_GUESS: Milliseconds = 1000;
/** Weight of the newest absence; the platform's time for a promotion is steady. */
const WEIGHT = 0.5;
/** A longer absence tells of a cut or an outage, not of a change of primary. */
const LONGEST_CHANGE: Milliseconds = 3000;
/** An absence that lasts longer than expected may end at any time. */
const LEAST: Milliseconds = 100;

/** Creates expectations of groups that never had a primary. */
export function createPrimaryReturn(): PrimaryReturn {
  const hadPrimary = new Set<string>();
  const lostAt = new Map<string, Milliseconds>();
  let typical = FIRST_GUESS;

  function noteBack(group: string, now: Milliseconds): void {
    const since = lostAt.get(group);
    hadPrimary.add(group);
    lostAt.delete(group);
    const absence = since === undefined ? Infinity : now - since;
    if (absence <= LONGEST_CHANGE) {
      typical += WEIGHT * (absence - typical);
    }
  }

  return {
    note(group, hasPrimary, now) {
      if (hasPrimary) {
        noteBack(group, now);
      } else if (hadPrimary.has(group) && !lostAt.has(group)) {
        lostAt.set(group, now);
      }
    },
    expected(group, now) {
      const since = lostAt.get(group);
      return since === undefined ? 0 : Math.max(LEAST, since + typical - now);
    },
  };
}
