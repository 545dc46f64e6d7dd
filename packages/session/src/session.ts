/** Sessions: the log position that a session depends on, per group. */
import {
  EMPTY_LOG_END,
  LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';

/**
 * Log positions by group. Sessions are immutable; functions return new ones.
 */
export type Session = ReadonlyMap<string, LogPosition>;

/** The session that depends on no position of any group. */
export const EMPTY_SESSION: Session = new Map<string, LogPosition>();

/** The position that a session depends on; the empty log's end by default. */
export function positionOf(session: Session, group: string): LogPosition {
  return session.get(group) ?? EMPTY_LOG_END;
}

/**
 * Adds a position observed in a group, unless the session already has the same
 * or a higher one.
 */
export function withPosition(
  session: Session,
  group: string,
  seen: LogPosition,
): Session {
  if (compareLogPositions(seen, positionOf(session, group)) <= 0) {
    return session;
  }
  return new Map(session).set(group, seen);
}

/** Merges two sessions, keeping the higher position of each group. */
export function mergeSessions(left: Session, right: Session): Session {
  let merged = left;
  for (const [group, seen] of right) {
    merged = withPosition(merged, group, seen);
  }
  return merged;
}
