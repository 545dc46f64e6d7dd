/** The records of a log and the starts of its terms. */
import {
  EMPTY_LOG_END,
  LogPosition,
  LogRecord,
  LoggedConfiguration,
  TermHistory,
  termAt,
} from '@kelpstep/protocol';

/** A log; the record at position 1 is the first. */
export interface ReplicatedLog {
  end(): LogPosition;
  /** Starts of its terms; never changed in place. */
  history(): TermHistory;
  /** Adds a record whose position follows the end. */
  append(record: LogRecord): void;
  /** Drops the records beyond a position. */
  truncate(keep: number): void;
  recordAt(position: number): LogRecord | undefined;
  /** The newest configuration up to a position. */
  configurationAt(position: number): LoggedConfiguration | undefined;
  /** At most `limit` records beyond a position. */
  recordsAfter(position: number, limit: number): LogRecord[];
}

/** The starts of the terms that a log has up to a position. */
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

/** What is known of a log without its records. */
export interface LogOutline {
  readonly end: LogPosition;
  readonly history: TermHistory;
}

/** The first position that a log wrote in the term of a position. */
function termStart(history: TermHistory, position: number): number {
  const term = termAt(history, position);
  return history.find(start => start.term === term)?.firstPosition ?? 1;
}

/** The last position at which two logs hold the same record. */
export function lastCommonPosition(
  left: LogOutline,
  right: LogOutline,
): number {
  let position = Math.min(left.end.position, right.end.position);
  while (position > 0) {
    const leftTerm = termAt(left.history, position);
    const rightTerm = termAt(right.history, position);
    if (leftTerm === rightTerm) {
      return position;
    }
    // Terms rise along a log, so no record of the higher one is in both.
    const higher = leftTerm > rightTerm ? left : right;
    position = termStart(higher.history, position) - 1;
  }
  return 0;
}
