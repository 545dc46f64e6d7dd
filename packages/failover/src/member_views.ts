/** Derives the members' part of a `GroupView` from a group's state. */
import {EMPTY_LOG_END, LogPosition, logContains} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupState} from './group_state';
import type {MemberView} from './group_view';

/** Describes all members, including those without a status. */
export function describeMembers(
  state: GroupState,
  isLeaving: (memberId: string) => boolean,
): MemberView[] {
  return state.members.all().map(member => {
    const link = state.link(member.id);
    const status = link?.status();
    const end = status?.end ?? EMPTY_LOG_END;
    const history = status?.history ?? [];
    const hasStatus = status !== undefined;
    return {
      member,
      reachable: link?.condition() === 'open',
      role: status?.role,
      end,
      history,
      freshAt: hasStatus ? state.freshness.freshAt(end, history) : undefined,
      leaving: isLeaving(member.id),
    };
  });
}

/** True if the member's log, as last reported, holds the record. */
export function holds(
  state: GroupState,
  memberId: string,
  record: LogPosition,
): boolean {
  const status = state.link(memberId)?.status();
  return (
    status !== undefined && logContains(status.history, status.end, record)
  );
}

/** Implements `GroupView.freshAt`. */
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
