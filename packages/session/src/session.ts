/** What a session has seen: the log position it depends on, per group. */
import {
  EMPTY_LOG_END,
  LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';

/** Log positions by group. Never changed; functions give new ones. */
export type Session = ReadonlyMap<string, LogPosition>;

/** A session that has seen nothing. */
export const EMPTY_SESSION: Session = new Map<string, LogPosition>();

/** The position that a session depends on; the empty log's end by default. */
export function positionOf(session: Session, group: string): LogPosition {
  return session.get(group) ?? EMPTY_LOG_END;
}

/** Adds what a session saw of a group; the higher position stays. */
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

/** Joins two sessions: the higher position of each group. */
export function mergeSessions(left: Session, right: Session): Session {
  let merged = left;
  for (const [group, seen] of right) {
    merged = withPosition(merged, group, seen);
  }
  return merged;
}
