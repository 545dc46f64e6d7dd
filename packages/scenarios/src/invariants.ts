/**
 * Checks a recorded history against the invariants. All violations are
 * collected; an empty list means that all invariants hold.
 */
import type {Rows} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Operation} from './history';

/** Names of the invariants. */
export type Invariant =
  | 'confirmed-once'
  | 'not-run-absent'
  | 'unknown-at-most-once'
  | 'nothing-invented'
  | 'read-your-writes'
  | 'own-answer'
  | 'age'
  | 'transaction-whole'
  | 'answered'
  | 'fenced-term'
  | 'leaving-unused'
  | 'manifest-reverted'
  | 'manifest-in-force'
  | 'one-commit-wins';

/** A violation of an invariant; `operation` is the operation's id. */
export interface Violation {
  readonly invariant: Invariant;
  readonly operation: number | undefined;
  readonly message: string;
}

/**
 * Returns the records of a session's list after the run, with all faults ended.
 */
export type FinalRecords = (
  session: string,
  group: string,
) => readonly string[];

/** Input of the invariant checker. */
export interface CheckedRun {
  readonly operations: readonly Operation[];
  readonly finalRecords: FinalRecords;
  /** Time after its deadline within which a request must be answered. */
  readonly answerGrace: Milliseconds;
}

/** Returns the records that an operation appends. */
export function appendedRecords(operation: Operation): string[] {
  return operation.statements
    .filter(statement => statement.text === 'append ? ?')
    .map(statement => String(statement.parameters[1]));
}

/** Returns the records in the rows of a list read. */
export function readRecords(rows: Rows): string[] {
  return rows.map(row => String(row[0]));
}

function countOf(records: readonly string[], record: string): number {
  return records.filter(other => other === record).length;
}

function isWrite(operation: Operation): boolean {
  return appendedRecords(operation).length > 0;
}

/** Checks all invariants. */
export function checkInvariants(run: CheckedRun): Violation[] {
  return [
    ...checkFinalRecords(run),
    ...checkNothingInvented(run),
    ...checkReads(run.operations),
    ...checkAnswered(run),
  ];
}

function checkFinalRecords(run: CheckedRun): Violation[] {
  const violations: Violation[] = [];
  for (const operation of run.operations.filter(isWrite)) {
    const {session, group, id} = operation;
    const final = run.finalRecords(session, group);
    const counts = appendedRecords(operation).map(record =>
      countOf(final, record),
    );
    const invariant = violatedInvariant(operation, counts);
    if (invariant !== undefined) {
      violations.push({
        invariant,
        operation: id,
        message: `${session}: reported outcome ${operation.outcome}; copies: ${counts.join(', ')}`,
      });
    }
  }
  return violations;
}

function violatedInvariant(
  operation: Operation,
  counts: readonly number[],
): Invariant | undefined {
  const outcome = operation.outcome;
  if (outcome === 'confirmed' && counts.some(count => count !== 1)) {
    return 'confirmed-once';
  }
  if (outcome === 'not_run' && counts.some(count => count !== 0)) {
    return 'not-run-absent';
  }
  if (counts.some(count => count > 1)) {
    return 'unknown-at-most-once';
  }
  if (new Set(counts).size > 1) {
    return 'transaction-whole';
  }
  return undefined;
}

function checkNothingInvented(run: CheckedRun): Violation[] {
  const violations: Violation[] = [];
  const requested = new Set(run.operations.flatMap(appendedRecords));
  const lists = new Map<string, Operation>();
  for (const operation of run.operations) {
    lists.set(`${operation.session} ${operation.group}`, operation);
  }
  for (const {session, group} of lists.values()) {
    for (const record of run.finalRecords(session, group)) {
      if (!requested.has(record)) {
        violations.push({
          invariant: 'nothing-invented',
          operation: undefined,
          message: `${record} in the list of ${session} was never requested`,
        });
      }
    }
  }
  return violations;
}

function checkReads(operations: readonly Operation[]): Violation[] {
  return operations
    .filter(
      operation =>
        operation.kind === 'list' && operation.outcome === 'confirmed',
    )
    .flatMap(read => [
      ...checkOwnAnswer(read),
      ...checkReadYourWrites(read, operations),
      ...checkAge(read, operations),
    ]);
}

function listedSession(read: Operation): string {
  return String(read.statements[0]?.parameters[0]).replace('records-of-', '');
}

/** A record's text starts with the session whose list it belongs to. */
function checkOwnAnswer(read: Operation): Violation[] {
  const session = listedSession(read);
  return readRecords(read.rows ?? [])
    .filter(record => !record.startsWith(`${session}/`))
    .map(record => ({
      invariant: 'own-answer',
      operation: read.id,
      message: `a read of ${session} was answered with ${record}`,
    }));
}

function missingRecords(
  read: Operation,
  writes: readonly Operation[],
): string[] {
  const seen = new Set(readRecords(read.rows ?? []));
  return writes.flatMap(appendedRecords).filter(record => !seen.has(record));
}

function confirmedBefore(
  read: Operation,
  operations: readonly Operation[],
  time: Milliseconds,
): Operation[] {
  const session = listedSession(read);
  return operations.filter(
    operation =>
      operation.session === session &&
      operation.group === read.group &&
      operation.confirmedAt !== undefined &&
      operation.confirmedAt <= time,
  );
}

function checkReadYourWrites(
  read: Operation,
  operations: readonly Operation[],
): Violation[] {
  if (listedSession(read) !== read.session) {
    return [];
  }
  const own = confirmedBefore(read, operations, read.invokedAt);
  return missingRecords(read, own).map(record => ({
    invariant: 'read-your-writes',
    operation: read.id,
    message: `${read.session} did not see its own ${record}`,
  }));
}

/**
 * An answer must contain all records confirmed at least `maximumAge` before it.
 */
function checkAge(
  read: Operation,
  operations: readonly Operation[],
): Violation[] {
  if (read.maximumAge === undefined || read.completedAt === undefined) {
    return [];
  }
  const oldest = read.completedAt - read.maximumAge;
  const due = confirmedBefore(read, operations, oldest);
  return missingRecords(read, due).map(record => ({
    invariant: 'age',
    operation: read.id,
    message: `${record} was confirmed more than ${read.maximumAge} ms before`,
  }));
}

function checkAnswered(run: CheckedRun): Violation[] {
  return run.operations
    .filter(
      operation =>
        operation.completedAt === undefined ||
        operation.completedAt > operation.deadline + run.answerGrace,
    )
    .map(operation => ({
      invariant: 'answered',
      operation: operation.id,
      message: `no answer by ${operation.deadline} + ${run.answerGrace} ms`,
    }));
}
