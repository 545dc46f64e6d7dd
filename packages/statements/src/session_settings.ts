/**
 * Settings of sessions and what of them is applied to a connection. Sessions
 * share connections: right before a statement the difference is applied, in the
 * same write, so that sharing costs no round trip.
 */
import type {PrepareStatement, SessionStatement} from './session_statement';
import type {TargetRequest} from './target_connection';

/** What a session set, or what is applied to a connection. */
export interface SessionSettings {
  readonly values: Map<string, string>;
  /** Prepared statements by name. */
  readonly prepared: Map<string, PreparedShape>;
}

/** What a prepared name stands for. */
export type PreparedShape = Pick<PrepareStatement, 'access' | 'shape'>;

/** Creates settings with nothing set. */
export function createSessionSettings(): SessionSettings {
  return {values: new Map(), prepared: new Map()};
}

/**
 * Name under which a shape is prepared on shared connections: sessions with
 * the same shape share it, whatever each of them calls it.
 */
export function sharedName({access, shape}: PreparedShape): string {
  const prefix = access === 'read' ? 'r' : 'w';
  return `${prefix}_${Buffer.from(shape).toString('hex')}`;
}

/** Takes a local statement into a session's settings. */
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

/** True if the connection holds no value that the session hasn't. */
export function isWithin(
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

/** Values to set before a statement of this session; the fewer the better. */
export function countDifferences(
  applied: SessionSettings,
  session: SessionSettings,
): number {
  let differences = isWithin(applied, session) ? 0 : 1 + session.values.size;
  for (const [name, value] of session.values) {
    differences += applied.values.get(name) === value ? 0 : 1;
  }
  return differences;
}

/** Most prepared names that a connection keeps; a reset drops them. */
const MAXIMUM_PREPARED = 200;

/** What a connection needs before a statement. */
export interface DifferenceOptions {
  readonly applied: SessionSettings;
  readonly session: SessionSettings;
  /** Shape of the statement that is about to run, if it is a prepared one. */
  readonly shape: PreparedShape | undefined;
  /** Inside a transaction values only grow, so that no reset is needed. */
  readonly isInTransaction: boolean;
}

/** Requests that bring a connection to the session's settings. */
export function planDifference(options: DifferenceOptions): TargetRequest[] {
  const {applied, session, shape, isInTransaction} = options;
  const requests: TargetRequest[] = [];
  const mustReset =
    !isInTransaction &&
    (!isWithin(applied, session) || applied.prepared.size > MAXIMUM_PREPARED);
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

/** Notes what these requests, once answered, have applied to a connection. */
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
