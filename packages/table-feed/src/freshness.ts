/**
 * Measures how up to date table copies are, relative to their staleness bounds.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/**
 * A table and its staleness bound: every proxy must know a change within this
 * time.
 */
export interface TableStalenessBound {
  readonly table: string;
  readonly stalenessBound: Milliseconds;
}

/** Latest time at which each table was known to be up to date. */
export interface Confirmations {
  /** Records that the copy holds all changes confirmed before this time. */
  confirm(table: string, at: Milliseconds): void;
  /** Time since the latest confirmation; `Infinity` without one. */
  age(table: string): Milliseconds;
}

/** Creates confirmations in which no table is confirmed. */
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
 * Largest ratio of a table's age to its staleness bound. Above 1, a copy may
 * lack a change that every proxy should know by now.
 */
export function stalenessOf(
  bounds: readonly TableStalenessBound[],
  age: (table: string) => Milliseconds,
): number {
  const ratios = bounds.map(
    ({table, stalenessBound: bound}) => age(table) / bound,
  );
  return Math.max(...ratios);
}

/**
 * Ratio of a long poll's wait to the staleness bound. An unresponsive
 * connection is detected early enough to retry within the bound.
 */
const LONG_POLL_WAIT_RATIO = 0.4;

/** Longest wait of a long poll for a table's changes. */
export function longPollWait({
  stalenessBound: bound,
}: TableStalenessBound): Milliseconds {
  return Math.round(LONG_POLL_WAIT_RATIO * bound);
}
