/**
 * Settings of sessions, and settings applied to connections. Sessions share
 * connections: the difference is applied immediately before a statement, in the
 * same write, so that sharing costs no round trip.
 */
import type {PrepareStatement, SessionStatement} from './session_statement';
import type {TargetRequest} from './target_connection';

/** Settings of a session, or settings applied to a connection. */
export interface SessionSettings {
  readonly values: Map<string, string>;
  /**
   * Prepared statements: by the session's names for them in a session, by
   * `sharedStatementName` on a connection.
   */
  readonly prepared: Map<string, PreparedShape>;
}

/**
 * What a prepared name stands for: the statement's shape, a string that is
 * forwarded unchanged, and whether it reads or writes.
 */
export type PreparedShape = Pick<PrepareStatement, 'access' | 'shape'>;

/** Creates settings without variables and prepared statements. */
export function createSessionSettings(): SessionSettings {
  return {values: new Map(), prepared: new Map()};
}

/**
 * Name under which a statement is prepared on shared connections. It depends
 * only on the access and the shape, so sessions share it whatever name each of
 * them uses.
 */
export function sharedStatementName({access, shape}: PreparedShape): string {
  const prefix = access === 'read' ? 'r' : 'w';
  return `${prefix}_${Buffer.from(shape).toString('hex')}`;
}

/** Applies a set, prepare or deallocate statement to the settings. */
export function applyLocally(
  settings: SessionSettings,
  statement: SessionStatement,
): void {
  if (statement.kind === 'set') {
    settings.values.set(statement.name, statement.value);
  } else if (statement.kind === 'prepare') {
    const {access, shape} = statement;
    settings.prepared.set(statement.name, {access, shape});
  } else if (statement.kind === 'deallocate') {
    settings.prepared.delete(statement.name);
  }
}

/** True if every variable set on the connection is also set by the session. */
export function hasOnlyValuesOf(
  applied: SessionSettings,
  session: SessionSettings,
): boolean {
  for (const name of applied.values.keys()) {
    if (!session.values.has(name)) {
      return false;
    }
  }
  return true;
}

/**
 * Estimated cost of applying the session's variables to a connection; lower is
 * better. It is the number of variables to set, increased by a reset and all
 * variables if the connection has variables that the session has not set.
 */
export function countDifferences(
  applied: SessionSettings,
  session: SessionSettings,
): number {
  let differences = hasOnlyValuesOf(applied, session)
    ? 0
    : 1 + session.values.size;
  for (const [name, value] of session.values) {
    differences += applied.values.get(name) === value ? 0 : 1;
  }
  return differences;
}

/**
 * Maximum number of prepared statements of a connection. A connection with more
 * is reset before its next statement outside a transaction.
 */
const MAXIMUM_PREPARED_COUNT = 200;

/** A connection's settings, the session's settings, and the next statement. */
export interface DifferenceOptions {
  readonly applied: SessionSettings;
  readonly session: SessionSettings;
  /** The prepared statement that the next statement executes, if any. */
  readonly shape: PreparedShape | undefined;
  /**
   * True inside a transaction, in which the connection isn't reset: the
   * transaction's session can only add settings to it.
   */
  readonly isInTransaction: boolean;
}

/**
 * Plans the requests that apply the session's variables and the needed prepared
 * statement to a connection, in the order in which they must be sent.
 */
export function planDifference(options: DifferenceOptions): TargetRequest[] {
  const {applied, session, shape, isInTransaction} = options;
  const requests: TargetRequest[] = [];
  const mustReset =
    !isInTransaction &&
    (!hasOnlyValuesOf(applied, session) ||
      applied.prepared.size > MAXIMUM_PREPARED_COUNT);
  if (mustReset) {
    requests.push({body: {kind: 'reset'}});
  }
  for (const [name, value] of session.values) {
    if (mustReset || applied.values.get(name) !== value) {
      requests.push({body: {kind: 'set', name, value}});
    }
  }
  if (shape !== undefined) {
    const name = sharedStatementName(shape);
    if (mustReset || !applied.prepared.has(name)) {
      requests.push({body: {kind: 'prepare', name, ...shape}});
    }
  }
  return requests;
}

/** Updates `applied`, the settings of a connection, by requests sent on it. */
export function recordApplied(
  applied: SessionSettings,
  requests: readonly TargetRequest[],
): void {
  for (const {body} of requests) {
    if (body.kind === 'reset') {
      applied.values.clear();
      applied.prepared.clear();
    } else if (body.kind === 'set' || body.kind === 'prepare') {
      applyLocally(applied, body);
    }
  }
}
