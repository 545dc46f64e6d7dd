/** What the request path is told about members. */
import {EMPTY_LOG_END, LogPosition, logContains} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupState} from './group_state';
import type {MemberView} from './group_view';

/** All members of the group, heard or not. */
export function describeMembers(
  state: GroupState,
  isLeaving: (memberId: string) => boolean,
): MemberView[] {
  return state.members.all().map(member => {
    const link = state.link(member.id);
    const status = link?.status();
    const end = status?.end ?? EMPTY_LOG_END;
    const history = status?.history ?? [];
    const isHeard = status !== undefined;
    return {
      member,
      reachable: link?.condition() === 'open',
      role: status?.role,
      end,
      history,
      freshAt: isHeard ? state.freshness.freshAt(end, history) : undefined,
      leaving: isLeaving(member.id),
    };
  });
}

/** True if the member's log holds the record, as it last told. */
export function holds(
  state: GroupState,
  memberId: string,
  wanted: LogPosition,
): boolean {
  const status = state.link(memberId)?.status();
  return (
    status !== undefined && logContains(status.history, status.end, wanted)
  );
}

/** See `GroupView.freshAt`. */
export function freshAt(
  state: GroupState,
  end: LogPosition,
): Milliseconds | undefined {
  for (const status of state.statuses()) {
    if (logContains(status.history, status.end, end)) {
      return state.freshness.freshAt(end, status.history);
    }
  }
  return undefined;
}
