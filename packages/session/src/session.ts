/** Sessions: the log position that a session depends on, per group. */
import {
  EMPTY_LOG_END,
  LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';

/** Log positions by group. Immutable; functions return new sessions. */
export type Session = ReadonlyMap<string, LogPosition>;

/** A session that depends on no position. */
export const EMPTY_SESSION: Session = new Map<string, LogPosition>();

/** The position that a session depends on; the empty log's end by default. */
export function positionOf(session: Session, group: string): LogPosition {
  return session.get(group) ?? EMPTY_LOG_END;
}

/** Adds a position seen in a group; the higher position is kept. */
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
