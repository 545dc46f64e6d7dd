/** A request that is being served. */
import {LogPosition, EMPTY_LOG_END} from '@kelpstep/protocol';
import type {RequestContext} from '@kelpstep/request-ledger';
import {encodeToken, withPosition} from '@kelpstep/session';

import type {GroupRecord} from './group_record';
import type {CheckedRequest} from './request_intake';

/** A request that is being served. */
export interface ActiveRequest {
  readonly checked: CheckedRequest;
  readonly context: RequestContext;
  readonly record: GroupRecord;
  /** The token that the session was read from. */
  readonly token: string;
}

/** The session's token after an answer that was made at a log position. */
export function tokenAfter(
  {checked, record, token}: ActiveRequest,
  at: LogPosition,
): string {
  const {session, group} = checked;
  const next = withPosition(session, group.name, at);
  if (next === session) {
    return token;
  }
  return next.size === 1 ? record.tokenOf(next, at) : encodeToken(next);
}

/** What the session has seen of the group, nothing without a token. */
export function seenBy({checked}: ActiveRequest): LogPosition {
  return checked.seen ?? EMPTY_LOG_END;
}
