/** Computes from the members' statuses which configuration change is due. */
import {
  Configuration,
  LogPosition,
  LoggedConfiguration,
  TargetStatus,
} from '@kelpstep/protocol';

import {isSameDatabase} from './group_members';
import type {Leadership} from './group_view';
import {canVote} from './member_status';
import {votersOf} from './voters';

/** A member as listed in a configuration. */
export type ConfiguredMember = Configuration['members'][number];

/** State of the group from which the next configuration is computed. */
export interface MembershipChangeInput {
  /** The newest known configuration. */
  readonly configuration: LoggedConfiguration;
  /** The members of the manifest in force, and its version. */
  readonly wanted: readonly ConfiguredMember[];
  readonly manifestVersion: number;
  readonly leadership: Leadership;
  /** The highest confirmed record. */
  readonly confirmed: LogPosition;
  /** Statuses of the reachable members. */
  readonly statuses: readonly TargetStatus[];
  /** Number of records that a caught-up member may be missing. */
  readonly catchUpRecords: number;
}

/**
 * Returns the next configuration on the way to the wanted members, or
 * `undefined` if no change is due or possible yet. It differs from the present
 * one by a single member; additions come before removals.
 *
 * A change requires that the term's barrier and the present configuration are
 * confirmed. Configurations that are in use at the same time therefore differ
 * by at most one member, so that their majorities overlap.
 */
export function nextConfiguration(
  input: MembershipChangeInput,
): Configuration | undefined {
  const {configuration, manifestVersion} = input;
  if (!isConfirmed(input) || manifestVersion < configuration.version) {
    return undefined;
  }
  const caughtUp = input.statuses.filter(status => isCaughtUp(status, input));
  const caughtUpIds = new Set(caughtUp.map(({target}) => target));
  const nextMembers = [
    ...additions(input, caughtUpIds),
    ...removals(input, caughtUpIds),
  ].find(members => hasMajority(members, caughtUpIds));
  return nextMembers && {version: manifestVersion, members: nextMembers};
}

function isConfirmed({
  configuration,
  confirmed,
  leadership,
}: MembershipChangeInput): boolean {
  return (
    confirmed.term === leadership.term &&
    confirmed.position >= configuration.at.position
  );
}

/** True if the member follows the primary's term closely enough to vote. */
function isCaughtUp(
  status: TargetStatus,
  input: MembershipChangeInput,
): boolean {
  const {term, primary} = input.leadership;
  const leader = input.statuses.find(({target}) => target === primary);
  const requiredPosition =
    (leader?.end.position ?? Infinity) - input.catchUpRecords;
  return (
    canVote(status) &&
    status.term === term &&
    status.end.term === term &&
    status.end.position >= requiredPosition
  );
}

function additions(
  {configuration, wanted}: MembershipChangeInput,
  caughtUpIds: ReadonlySet<string>,
): ConfiguredMember[][] {
  const {members} = configuration;
  return wanted
    .filter(
      ({id}) => caughtUpIds.has(id) && !members.some(each => each.id === id),
    )
    .map(({id, address}) => [...members, {id, address}]);
}

/**
 * Lists the configurations with one unwanted member less. Members that have
 * not caught up are removed first. The primary is never removed, and a removal
 * leaves no fewer members than wanted, unless a member's address has changed.
 */
function removals(
  {configuration, wanted, leadership}: MembershipChangeInput,
  caughtUpIds: ReadonlySet<string>,
): ConfiguredMember[][] {
  const {members} = configuration;
  const unwanted = members.filter(
    member =>
      member.id !== leadership.primary &&
      !wanted.some(each => isSameDatabase(each, member)) &&
      (members.length > wanted.length ||
        wanted.some(({id}) => id === member.id)),
  );
  return unwanted
    .sort(
      (left, right) =>
        Number(caughtUpIds.has(left.id)) - Number(caughtUpIds.has(right.id)),
    )
    .map(({id}) => members.filter(member => member.id !== id));
}

function hasMajority(
  members: readonly ConfiguredMember[],
  caughtUpIds: ReadonlySet<string>,
): boolean {
  const {majority} = votersOf({configuration: {version: 0, members}}, 0);
  return members.filter(({id}) => caughtUpIds.has(id)).length >= majority;
}
