/**
 * Determines which members get no new requests and which are preferred as
 * primary.
 */
import type {Member} from '@kelpstep/manifest';

import type {GroupMembers} from './group_members';

export interface MemberPreferencesOptions {
  readonly members: Pick<GroupMembers, 'all' | 'isUnwanted'>;
  /** Data centre of this proxy; preferred when candidates' logs are equal. */
  readonly dataCentre: string;
  /** True if the platform marks the member as leaving. */
  isMarkedLeaving(member: Member): boolean;
}

/** Preferences among a group's members, by member id. */
export interface MemberPreferences {
  /**
   * True if the manifest or the platform marks the member as leaving, or the
   * manifest no longer contains it.
   */
  isLeaving(memberId: string): boolean;
  /** Cost of a candidate; of those with equal logs the lowest cost wins. */
  cost(memberId: string): number;
}

const LEAVING_COST = 1000;
const OTHER_DATA_CENTRE_COST = 100;

export function createMemberPreferences(
  options: MemberPreferencesOptions,
): MemberPreferences {
  const {members, dataCentre, isMarkedLeaving} = options;

  function isLeaving(memberId: string): boolean {
    const member = members.all().find(({id}) => id === memberId);
    return (
      member !== undefined &&
      (member.state === 'leaving' ||
        isMarkedLeaving(member) ||
        members.isUnwanted(memberId))
    );
  }

  function cost(memberId: string): number {
    const all = members.all();
    const index = all.findIndex(({id}) => id === memberId);
    const distanceCost =
      all[index]?.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_COST;
    const leavingCost = isLeaving(memberId) ? LEAVING_COST : 0;
    return index + distanceCost + leavingCost;
  }

  return {isLeaving, cost};
}
