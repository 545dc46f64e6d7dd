/** Computes from the members' statuses which records are confirmed. */
import {
  EMPTY_LOG_END,
  LogPosition,
  TermHistory,
  compareLogPositions,
  logContains,
} from '@kelpstep/protocol';

import {newestLog} from './group_members';
import type {Confirmation} from './group_view';
import {MemberLog, canVote} from './member_status';
import {Voters, votersOf} from './voters';

/** The highest confirmed record and the history of a log that holds it. */
export interface ConfirmedLog {
  readonly at: LogPosition;
  readonly history: TermHistory;
}

/** Initial value: no record is known to be confirmed. */
export const NOTHING_CONFIRMED: ConfirmedLog = {
  at: EMPTY_LOG_END,
  history: [],
};

export interface ConfirmationInput {
  /** Last status received from each member, without other targets. */
  readonly logs: readonly MemberLog[];
  /** Number of voters, used if the logs contain no configuration. */
  readonly groupSize: number;
  /** Member id of the primary of a term, if it is known. */
  primaryOf(term: number): string | undefined;
}

/**
 * Returns the highest record that a majority holds in the newest log's last
 * term. The newest log's configuration defines the voters. Members that have
 * seen a higher term are not counted, so nothing is confirmed in a term that
 * is known to be fenced at a majority.
 */
export function computeConfirmed(
  input: ConfirmationInput,
): ConfirmedLog | undefined {
  const newest = newestLog(input.logs);
  if (newest === undefined) {
    return undefined;
  }
  const {term} = newest.end;
  const voters = votersOf(newest, input.groupSize);
  const held = heldPositions(input, voters, newest.end);
  const position = held[voters.majority - 1];
  if (position === undefined) {
    return undefined;
  }
  return {at: {term, position}, history: newest.history};
}

/**
 * Returns the last position that each voter holds of the newest term, highest
 * first. A log that ends within a term holds the term's barrier, so no
 * returned position precedes the barrier.
 */
function heldPositions(
  input: ConfirmationInput,
  voters: Voters,
  newestEnd: LogPosition,
): number[] {
  const {term} = newestEnd;
  const positions: number[] = [];
  const primary = input.primaryOf(term);
  for (const log of input.logs) {
    const votes = canVote(log) && log.term === term && log.end.term === term;
    const isReplica = log.target !== primary;
    if (votes && isReplica && voters.includes(log.target)) {
      positions.push(log.end.position);
    }
  }
  if (
    primary !== undefined &&
    voters.includes(primary) &&
    !isFenced(input.logs, primary, term)
  ) {
    // The primary wrote every record of its term that another member holds.
    positions.push(newestEnd.position);
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
 * Returns whether a record is confirmed or superseded, or `undefined` if that
 * is not known yet. A confirmed barrier decides all records of lower terms: a
 * record that the barrier's log lacks is superseded.
 */
export function confirmationOf(
  record: LogPosition,
  confirmed: ConfirmedLog,
): Exclude<Confirmation, 'undecided'> | undefined {
  if (compareLogPositions(record, confirmed.at) > 0) {
    return undefined;
  }
  return logContains(confirmed.history, confirmed.at, record)
    ? 'confirmed'
    : 'superseded';
}
