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
  /** Prepared statements by name. */
  readonly prepared: Map<string, PreparedShape>;
}

/** The statement behind a prepared name. */
export type PreparedShape = Pick<PrepareStatement, 'access' | 'shape'>;

/** Creates empty settings. */
export function createSessionSettings(): SessionSettings {
  return {values: new Map(), prepared: new Map()};
}

/**
 * Name under which a shape is prepared on shared connections. It depends on the
 * shape only, so sessions share it whatever name each of them uses.
 */
export function sharedName({access, shape}: PreparedShape): string {
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

/** Cost of applying the session's settings to a connection; lower is better. */
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

/** Prepared statements per connection; it is reset beyond this number. */
const MAXIMUM_PREPARED_COUNT = 200;

/** Options of a plan for applying a session's settings to a connection. */
export interface DifferenceOptions {
  readonly applied: SessionSettings;
  readonly session: SessionSettings;
  /** Shape of the next statement, if it is a prepared one. */
  readonly shape: PreparedShape | undefined;
  /** Transactions only add values, so no reset is needed inside one. */
  readonly isInTransaction: boolean;
}

/** Plans the requests that apply the session's settings to a connection. */
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
    const name = sharedName(shape);
    if (mustReset || !applied.prepared.has(name)) {
      requests.push({body: {kind: 'prepare', name, ...shape}});
    }
  }
  return requests;
}

/** Records the settings that these requests apply to a connection. */
export function noteApplied(
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
