/** How current copies of tables are, against what is promised of them. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** A table, and within what time a change of it is to be known everywhere. */
export interface TablePromise {
  readonly table: string;
  readonly knownWithin: Milliseconds;
}

/** Until when tables are known to be complete, each by itself. */
export interface Confirmations {
  /** No change that was confirmed before this time is missing. */
  confirm(table: string, at: Milliseconds): void;
  /** Time since then; `Infinity` if it was never known. */
  age(table: string): Milliseconds;
}

/** Creates confirmations without any. */
export function createConfirmations(timer: TimerService): Confirmations {
  const times = new Map<string, Milliseconds>();

  return {
    confirm(table, at) {
      times.set(table, Math.max(at, times.get(table) ?? -Infinity));
    },
    age: table => timer.now() - (times.get(table) ?? -Infinity),
  };
}

/**
 * The largest share of the promised time that has passed since a table was known
 * to be complete. Beyond 1 a change may be missing that is to be known by now.
 */
export function stalenessOf(
  promises: readonly TablePromise[],
  age: (table: string) => Milliseconds,
): number {
  const shares = promises.map(
    ({table, knownWithin}) => age(table) / knownWithin,
  );
  return Math.max(...shares);
}

/**
 * Share of the promised time that a question to the store may wait. A connection
 * that fell silent shows then, and there is time left to ask anew.
 */
const QUESTION_SHARE = 0.4;

/** Longest wait of a question for a table's changes. */
export function questionWait({knownWithin}: TablePromise): Milliseconds {
  return Math.round(QUESTION_SHARE * knownWithin);
}
