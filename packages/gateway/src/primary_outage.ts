/**
 * Estimates when a lost primary is back, so that a statement that can't wait
 * that long is refused at once, with a time to retry.
 *
 * This matters when a primary fails under load and every caller's statement
 * needs it: a statement that waits until its timeout occupies its session and
 * uses up one of the caller's few retries.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Whether a group has a primary, and if not, why. */
export type PrimaryState = 'present' | 'leaving' | 'lost';

/** Estimates how long an outage lasts from the durations of earlier ones. */
export interface PrimaryReturn {
  /** Records whether the group has a primary that accepts statements. */
  note(group: string, state: PrimaryState, now: Milliseconds): void;
  /**
   * Time until the group's primary is expected back; 0 if none was lost. A
   * primary that was never known, as after the start, doesn't count as lost.
   */
  expected(group: string, now: Milliseconds): Milliseconds;
}

/**
 * Estimates before the end of any outage was observed. A lost primary must
 * first be detected, while a planned change starts at once. Too long an
 * estimate refuses statements that could have waited.
 */
const FIRST_GUESS = {lost: 1000, leaving: 300} as const;
/** Weight of the newest outage; the platform's promotion time varies little. */
const WEIGHT = 0.5;
/**
 * A longer outage indicates a network partition or a failure of the platform,
 * not a change of primary.
 */
const LONGEST_CHANGE: Milliseconds = 3000;
/** An outage that lasts longer than estimated may end at any time. */
const LEAST: Milliseconds = 100;

interface Absence {
  /** State when the outage began; a leaving primary is soon seen as lost. */
  readonly cause: Exclude<PrimaryState, 'present'>;
  readonly since: Milliseconds;
}

/** Creates an estimator that knows no primary. */
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
