/** Which records of a group are confirmed, computed from its statuses. */
import {
  EMPTY_LOG_END,
  LogPosition,
  TermHistory,
  compareLogPositions,
  logContains,
} from '@kelpstep/protocol';

import type {Confirmation} from './group_view';
import {Electorate, electorateOf} from './electorate';
import {newestLog} from './group_members';
import {MemberLog, isVoter} from './member_status';

/** The highest confirmed record and the history of a log that holds it. */
export interface ConfirmedLog {
  readonly at: LogPosition;
  readonly history: TermHistory;
}

/** Nothing is known to be confirmed. */
export const NOTHING_CONFIRMED: ConfirmedLog = {
  at: EMPTY_LOG_END,
  history: [],
};

/** What `computeConfirmed` needs to know. */
export interface ConfirmationInput {
  /** Last status of each member that was heard; none of other targets. */
  readonly logs: readonly MemberLog[];
  /** Members that count, heard or not, if the logs have no configuration. */
  readonly groupSize: number;
  /** Member id of a term's primary, if it is known. */
  primaryOf(term: number): string | undefined;
}

/**
 * The highest record that a majority holds in the newest term that wrote any;
 * the newest log says whose majority.
 * Members that have seen a higher term do not count, so nothing is confirmed
 * in a term that is known to be fenced at a majority.
 */
export function computeConfirmed(
  input: ConfirmationInput,
): ConfirmedLog | undefined {
  const newest = newestLog(input.logs);
  if (newest === undefined) {
    return undefined;
  }
  const {term} = newest.end;
  const electorate = electorateOf(newest, input.groupSize);
  const held = heldPositions(input, electorate, newest.end);
  const position = held[electorate.majority - 1];
  if (position === undefined) {
    return undefined;
  }
  return {at: {term, position}, history: newest.history};
}

/**
 * How far members hold a term's records, the farthest first. A log that ends
 * within a term holds the term's barrier, so no position lies before it.
 */
function heldPositions(
  input: ConfirmationInput,
  electorate: Electorate,
  farthest: LogPosition,
): number[] {
  const {term} = farthest;
  const positions: number[] = [];
  const primary = input.primaryOf(term);
  for (const log of input.logs) {
    const counts = isVoter(log) && log.term === term && log.end.term === term;
    const isReplica = log.target !== primary;
    if (counts && isReplica && electorate.includes(log.target)) {
      positions.push(log.end.position);
    }
  }
  if (
    primary !== undefined &&
    electorate.includes(primary) &&
    !isFenced(input.logs, primary, term)
  ) {
    // It wrote whatever any other member holds of its term.
    positions.push(farthest.position);
  }
  return positions.sort((left, right) => right - left);
}

function isFenced(
  logs: readonly MemberLog[],
  memberId: string,
  term: number,
): boolean {
  return logs.some(log => log.target === memberId && log.term > term);
}

/**
 * What became of a record, given what is confirmed. A confirmed barrier
 * decides all records of lower terms: its log holds them, or they are gone.
 */
export function fateOf(
  wanted: LogPosition,
  confirmed: ConfirmedLog,
): Exclude<Confirmation, 'undecided'> | undefined {
  if (compareLogPositions(wanted, confirmed.at) > 0) {
    return undefined;
  }
  return logContains(confirmed.history, confirmed.at, wanted)
    ? 'confirmed'
    : 'superseded';
}
