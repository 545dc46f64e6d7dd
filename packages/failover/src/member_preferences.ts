/** Which members get no new work, and which should rather lead. */
import type {Member} from '@kelpstep/manifest';

import type {GroupMembers} from './group_members';

/** What the preferences go by. */
export interface MemberPreferencesOptions {
  readonly members: Pick<GroupMembers, 'all' | 'isUnwanted'>;
  /** Where this proxy is; a near candidate wins between equal logs. */
  readonly dataCentre: string;
  /** True if the platform calls the member leaving. */
  isCalledLeaving(member: Member): boolean;
}

/** Preferences among a group's members, by member id. */
export interface MemberPreferences {
  /** True if manifest, platform or configuration let the member go. */
  isLeaving(memberId: string): boolean;
  /** Decides between equal logs: the lower number goes first. */
  cost(memberId: string): number;
}

const LEAVING_COST = 1000;
const FAR_COST = 100;

/** Creates the preferences of a group. */
export function createMemberPreferences(
  options: MemberPreferencesOptions,
): MemberPreferences {
  const {members, dataCentre, isCalledLeaving} = options;

  function isLeaving(memberId: string): boolean {
    const member = members.all().find(({id}) => id === memberId);
    return (
      member !== undefined &&
      (member.state === 'leaving' ||
        isCalledLeaving(member) ||
        members.isUnwanted(memberId))
    );
  }

  function cost(memberId: string): number {
    const all = members.all();
    const index = all.findIndex(({id}) => id === memberId);
    const distance = all[index]?.dataCentre === dataCentre ? 0 : FAR_COST;
    const departure = isLeaving(memberId) ? LEAVING_COST : 0;
    return index + distance + departure;
  }

  return {isLeaving, cost};
}
