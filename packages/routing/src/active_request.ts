/** Combines a request that is being served with its session. */
import {LogPosition, EMPTY_LOG_END} from '@kelpstep/protocol';
import type {RequestContext} from '@kelpstep/request-ledger';
import {encodeToken, withPosition} from '@kelpstep/session';

import type {GroupRecord} from './group_record';
import type {ValidatedRequest} from './request_validation';

/** A validated request with its context and its group's record. */
export interface ActiveRequest {
  readonly validated: ValidatedRequest;
  readonly context: RequestContext;
  readonly record: GroupRecord;
  /** The session token as received; empty if there was none. */
  readonly token: string;
}

/**
 * Returns the session token for an answer that was executed at a log position.
 */
export function tokenAfter(
  {validated, record, token}: ActiveRequest,
  at: LogPosition,
): string {
  const {session, group} = validated;
  const next = withPosition(session, group.name, at);
  if (next === session) {
    return token;
  }
  return next.size === 1 ? record.tokenOf(next, at) : encodeToken(next);
}

/**
 * Returns the log position in the session's token; `EMPTY_LOG_END` without a
 * token.
 */
export function seenPosition({validated}: ActiveRequest): LogPosition {
  return validated.seen ?? EMPTY_LOG_END;
}
