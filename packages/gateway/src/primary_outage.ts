/**
 * When a lost primary is expected back, so that a statement which can't wait that
 * long is refused at once, with the time to come back.
 *
 * Load pattern: a primary dies under load and each caller's statement needs it. Held
 * to the end of its time, a statement uses up its session and one of few retries.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Whether a group has a primary, and if not, why. */
export type PrimaryState = 'present' | 'leaving' | 'lost';

/** Expects primaries back by how long earlier ones were away. */
export interface PrimaryReturn {
  /** Tells whether the group has a primary that takes statements. */
  note(group: string, state: PrimaryState, now: Milliseconds): void;
  /**
   * Time until the group's primary is expected back; 0 if none was lost: right
   * after the start it is only not known yet.
   */
  expected(group: string, now: Milliseconds): Milliseconds;
}

/**
 * Guesses before any primary was seen to return. A loss has to be found first, a
 * planned change goes on at once. Too long a guess refuses what could have waited.
 */
const FIRST_GUESS = {lost: 1000, leaving: 300} as const;
/** Weight of the newest absence; the platform's time for a promotion is steady. */
const WEIGHT = 0.5;
/** A longer absence tells of a cut or an outage, not of a change of primary. */
const LONGEST_CHANGE: Milliseconds = 3000;
/** An absence that lasts longer than expected may end at any time. */
const LEAST: Milliseconds = 100;

interface Absence {
  /** As it began: a primary that leaves is soon demoted, and then not known. */
  readonly cause: Exclude<PrimaryState, 'present'>;
  readonly since: Milliseconds;
}

/** Creates expectations of groups that never had a primary. */
export function createPrimaryReturn(): PrimaryReturn {
  const hadPrimary = new Set<string>();
  const absences = new Map<string, Absence>();
  const typical: Record<Absence['cause'], Milliseconds> = {...FIRST_GUESS};

  function noteBack(group: string, now: Milliseconds): void {
    const absence = absences.get(group);
    hadPrimary.add(group);
    absences.delete(group);
    if (absence !== undefined && now - absence.since <= LONGEST_CHANGE) {
      const {cause, since} = absence;
      typical[cause] += WEIGHT * (now - since - typical[cause]);
    }
  }

  return {
    note(group, state, now) {
      if (state === 'present') {
        noteBack(group, now);
      } else if (hadPrimary.has(group) && !absences.has(group)) {
        absences.set(group, {cause: state, since: now});
      }
    },
    expected(group, now) {
      const absence = absences.get(group);
      if (absence === undefined) {
        return 0;
      }
      const end = absence.since + typical[absence.cause];
      return Math.max(LEAST, end - now);
    },
  };
}
