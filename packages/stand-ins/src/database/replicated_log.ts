/** A replicated log: its records and the first position of each term. */
import {
  EMPTY_LOG_END,
  LogPosition,
  LogRecord,
  LoggedConfiguration,
  TermHistory,
  termAt,
} from '@kelpstep/protocol';

/** A log of records; positions start at 1. */
export interface ReplicatedLog {
  end(): LogPosition;
  /** First position of each term; the returned array is never modified. */
  history(): TermHistory;
  /** Appends a record, whose position must be the next one. */
  append(record: LogRecord): void;
  /** Removes the records after a position. */
  truncate(keep: number): void;
  recordAt(position: number): LogRecord | undefined;
  /** Latest configuration at or before a position. */
  configurationAt(position: number): LoggedConfiguration | undefined;
  /** Returns at most `limit` records after a position. */
  recordsAfter(position: number, limit: number): LogRecord[];
}

/** Restricts a term history to the terms that start at or before a position. */
export function historyUpTo(
  history: TermHistory,
  position: number,
): TermHistory {
  const last = history.at(-1);
  return last === undefined || last.firstPosition <= position
    ? history
    : history.filter(start => start.firstPosition <= position);
}

/** Creates an empty log. */
export function createReplicatedLog(): ReplicatedLog {
  let records: LogRecord[] = [];
  let history: TermHistory = [];
  let configurations: LoggedConfiguration[] = [];

  function end(): LogPosition {
    return records.at(-1)?.at ?? EMPTY_LOG_END;
  }

  function append(record: LogRecord): void {
    const {term, position} = record.at;
    if (term !== end().term) {
      history = [...history, {term, firstPosition: position}];
    }
    if (record.configuration !== undefined) {
      configurations.push({...record.configuration, at: record.at});
    }
    records.push(record);
  }

  function configurationAt(position: number): LoggedConfiguration | undefined {
    return configurations.findLast(({at}) => at.position <= position);
  }

  function truncate(keep: number): void {
    records = records.slice(0, keep);
    history = historyUpTo(history, keep);
    configurations = configurations.filter(({at}) => at.position <= keep);
  }

  return {
    end,
    history: () => history,
    append,
    truncate,
    configurationAt,
    recordAt: position => records[position - 1],
    recordsAfter: (position, limit) =>
      records.slice(position, position + limit),
  };
}

/** End and term history of a log, without its records. */
export interface LogSummary {
  readonly end: LogPosition;
  readonly history: TermHistory;
}

/** First position of the term that holds a position. */
function termStart(history: TermHistory, position: number): number {
  const term = termAt(history, position);
  return history.find(start => start.term === term)?.firstPosition ?? 1;
}

/** Last position at which two logs hold the same record; 0 if there is none. */
export function lastCommonPosition(
  left: LogSummary,
  right: LogSummary,
): number {
  let position = Math.min(left.end.position, right.end.position);
  while (position > 0) {
    const leftTerm = termAt(left.history, position);
    const rightTerm = termAt(right.history, position);
    if (leftTerm === rightTerm) {
      return position;
    }
    // Terms never decrease along a log, so from here backwards the other log
    // has no record of the higher term.
    const higher = leftTerm > rightTerm ? left : right;
    position = termStart(higher.history, position) - 1;
  }
  return 0;
}
