/**
 * Log, tables and idempotency keys of one database. A lagging replica holds
 * received records that are not applied yet; `end`, `history` and
 * `configuration` leave these out.
 */
import {
  Configuration,
  EMPTY_LOG_END,
  Failure,
  IdempotencyKey,
  LogPosition,
  LogRecord,
  LoggedConfiguration,
  Rows,
  Statement,
  TermHistory,
} from '@kelpstep/protocol';
import {Ok, Result} from 'ts-results';

import type {IdempotencyKeys} from './idempotency_keys';
import {LogSummary, createReplicatedLog, historyUpTo} from './replicated_log';
import {prepareStatement} from './statements';
import {CommittedTables, createCommittedTables} from './tables';

/** Contents of a record that a primary writes. */
export interface NewRecord {
  readonly term: number;
  readonly statements: Statement[];
  readonly key?: IdempotencyKey;
  readonly cancelsKey?: boolean;
  readonly configuration?: Configuration | undefined;
  /** If true, the write answers with the rows of the last statement. */
  readonly answersRows: boolean;
}

/** Result of a write. */
export interface WriteResult {
  readonly rows: Rows;
  readonly at: LogPosition;
}

/** Log, tables and keys of one database. */
export interface Store {
  readonly tables: CommittedTables;
  readonly keys: IdempotencyKeys;
  /** End of the applied log. */
  end(): LogPosition;
  history(): TermHistory;
  /** Latest configuration in the applied log. */
  configuration(): LoggedConfiguration | undefined;
  /** Summary of the whole log, including records not applied yet. */
  received(): LogSummary;
  recordsAfter(position: number, limit: number): LogRecord[];
  /** Executes statements and appends one record; a failure changes nothing. */
  write(record: NewRecord): Result<WriteResult, Failure>;
  /** Appends received records; skips any that don't follow the log's end. */
  receive(records: readonly LogRecord[]): void;
  /** Applies received records up to a position. */
  applyUpTo(position: number): void;
  /** Removes the records after a position and reverts their effects. */
  truncate(keep: number): void;
}

export interface StoreOptions {
  readonly keys: IdempotencyKeys;
  /** Called after each change of the applied log. */
  readonly onChange: () => void;
}

/** Creates an empty store. */
export function createStore(options: StoreOptions): Store {
  const {keys, onChange} = options;
  const log = createReplicatedLog();
  const tables = createCommittedTables();
  let end = EMPTY_LOG_END;

  function run(statements: readonly Statement[]): Result<Rows, Failure> {
    let answer: Result<Rows, Failure> = Ok([]);
    for (const statement of statements) {
      if (answer.err) {
        break;
      }
      answer = prepareStatement(statement, 'write').andThen(prepared =>
        prepared.run(tables),
      );
    }
    return answer;
  }

  function write(newRecord: NewRecord): Result<WriteResult, Failure> {
    const {term, statements, key, cancelsKey, answersRows} = newRecord;
    const {configuration} = newRecord;
    const at = {term, position: end.position + 1};
    tables.setPosition(at.position);
    const answer = run(statements);
    if (answer.err) {
      return answer;
    }
    const rows = answersRows ? answer.val : [];
    const record: LogRecord = {
      at,
      statements,
      ...(key === undefined ? {} : {key, rows}),
      ...(cancelsKey === undefined ? {} : {cancelsKey}),
      ...(configuration === undefined ? {} : {configuration}),
    };
    log.append(record);
    keys.record(record);
    end = at;
    onChange();
    return Ok({rows, at});
  }

  function apply(record: LogRecord): void {
    tables.setPosition(record.at.position);
    run(record.statements);
    keys.record(record);
    end = record.at;
  }

  function replayUpTo(position: number): void {
    while (end.position < position) {
      const record = log.recordAt(end.position + 1);
      if (record === undefined) {
        break;
      }
      apply(record);
    }
  }

  function applyUpTo(position: number): void {
    const before = end;
    replayUpTo(position);
    if (end !== before) {
      onChange();
    }
  }

  function receive(records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.at.position === log.end().position + 1) {
        log.append(record);
      }
    }
  }

  function truncate(keep: number): void {
    log.truncate(keep);
    if (keep >= end.position) {
      return;
    }
    tables.clear();
    keys.clear();
    end = EMPTY_LOG_END;
    replayUpTo(keep);
    onChange();
  }

  return {
    tables,
    keys,
    end: () => end,
    history: () => historyUpTo(log.history(), end.position),
    configuration: () => log.configurationAt(end.position),
    received: () => ({end: log.end(), history: log.history()}),
    recordsAfter: log.recordsAfter,
    write,
    receive,
    applyUpTo,
    truncate,
  };
}
