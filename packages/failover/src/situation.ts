/** What, if anything, is wrong with a group's primary. */
import type {TargetStatus} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {LinkCondition, LossReason} from './member_link';
import {majorityOf} from './electorate';
import {findPrimary, isVoter} from './member_status';
import type {FailoverTimings} from './timings';

/** One member as a watcher sees it. */
export interface WatchedMember {
  readonly id: string;
  readonly address: string;
  readonly condition: LinkCondition;
  readonly lossReason: LossReason | undefined;
  /** Status of the present stream; `undefined` if none came yet. */
  readonly status: TargetStatus | undefined;
  /** How long it has been reachable; 0 if it is not. */
  readonly reachableFor: Milliseconds;
}

/** Why a promotion may be needed. */
export type ProblemKind =
  /** Its stream broke or fell silent and a fresh connection failed. */
  | 'primary_lost'
  /** It answers here, but too few replicas hear it to confirm anything. */
  | 'primary_isolated'
  /** No member is primary of the highest term. */
  | 'leaderless'
  /** Members have seen a higher term and refuse the primary's records. */
  | 'split_term'
  /** A bootstrap was broken off: too few members ever joined its primary. */
  | 'unconfirmed';

/** A problem; two observations of one problem are equal in all fields. */
export interface Problem {
  readonly kind: ProblemKind;
  /** Term of the primary concerned, or the highest term seen. */
  readonly term: number;
  /** Member id of the primary concerned, if there is one. */
  readonly primary: string | undefined;
}

/** What a watcher knows besides the members' own reports. */
export interface SituationInput {
  /** The members that count. */
  readonly members: readonly WatchedMember[];
  /** The newest leadership this proxy heard of. */
  readonly known: {readonly term: number; readonly primary: string} | undefined;
  readonly confirmedTerm: number;
  /** Highest term of a member that doesn't count yet. */
  readonly joinersTerm?: number;
  readonly isolationLimit: Milliseconds;
  readonly reunionLimit: Milliseconds;
}

/** True once every member's stream is either heard or lost. */
export function isSettled(members: readonly WatchedMember[]): boolean {
  return members.every(
    ({condition}) => condition === 'open' || condition === 'lost',
  );
}

/** Names the problem of a group, or undefined if its primary works. */
export function findProblem(input: SituationInput): Problem | undefined {
  const statuses = heardStatuses(input.members);
  const highest = Math.max(0, ...statuses.map(status => status.term));
  const leader = currentLeader(input, statuses);
  if (leader === undefined) {
    return isSettled(input.members)
      ? {kind: 'leaderless', term: highest, primary: undefined}
      : undefined;
  }
  const {term, primary} = leader;
  const kind = problemOfLeader(input, statuses, leader);
  return kind && {kind, term, primary};
}

interface Leader {
  readonly term: number;
  readonly primary: string;
}

function heardStatuses(members: readonly WatchedMember[]): TargetStatus[] {
  return members.flatMap(member =>
    member.status !== undefined && member.condition !== 'lost'
      ? [member.status]
      : [],
  );
}

/** The primary of the highest term of which one is known, by any report. */
function currentLeader(
  {members, known}: SituationInput,
  statuses: readonly TargetStatus[],
): Leader | undefined {
  const reported = findPrimary(statuses);
  let leader = known;
  if (reported !== undefined && reported.term >= (leader?.term ?? 0)) {
    leader = {term: reported.term, primary: reported.target};
  }
  for (const {term, following} of statuses) {
    const followed = members.find(({address}) => address === following);
    if (followed !== undefined && term > (leader?.term ?? 0)) {
      leader = {term, primary: followed.id};
    }
  }
  return leader;
}

function problemOfLeader(
  input: SituationInput,
  statuses: readonly TargetStatus[],
  leader: Leader,
): ProblemKind | undefined {
  const member = input.members.find(({id}) => id === leader.primary);
  const above = statuses.filter(status => status.term > leader.term).length;
  if (member === undefined || above >= majorityOf(input.members.length)) {
    return 'leaderless';
  }
  if (member.condition === 'lost') {
    return member.lossReason === 'exhausted' ? undefined : 'primary_lost';
  }
  if (member.condition !== 'open' || member.status === undefined) {
    return undefined;
  }
  const {role, term} = member.status;
  if (role !== 'primary' || term !== leader.term) {
    return 'leaderless';
  }
  if (above > 0 || (input.joinersTerm ?? 0) > leader.term) {
    return 'split_term';
  }
  if (isIsolated(input, leader, member.address)) {
    return 'primary_isolated';
  }
  return isBrokenOff(input, statuses, leader) ? 'unconfirmed' : undefined;
}

/**
 * True if the primary can get no majority because members are empty and not
 * bound to its term. Only a promotion that asks every member can admit them.
 */
function isBrokenOff(
  {members, confirmedTerm}: SituationInput,
  statuses: readonly TargetStatus[],
  leader: Leader,
): boolean {
  const voters = statuses.filter(isVoter).length;
  return (
    confirmedTerm < leader.term &&
    statuses.length === members.length &&
    voters < majorityOf(members.length) &&
    statuses.some(status => status.term < leader.term)
  );
}

/**
 * True if so many replicas miss the primary that nothing gets confirmed. One
 * that was out of reach itself is first left to find its primary again.
 */
function isIsolated(
  {members, isolationLimit, reunionLimit}: SituationInput,
  leader: Leader,
  address: string,
): boolean {
  const deaf = members.filter(
    ({condition, status, reachableFor}) =>
      condition !== 'lost' &&
      status?.term === leader.term &&
      status.following === address &&
      (status.primarySilence ?? 0) > isolationLimit &&
      reachableFor > reunionLimit,
  );
  return deaf.length >= majorityOf(members.length);
}

/** How long a problem must last before the first watcher acts. */
export function patienceFor(
  kind: ProblemKind,
  timings: FailoverTimings,
): Milliseconds {
  switch (kind) {
    case 'primary_lost':
    case 'primary_isolated':
      return 0;
    case 'leaderless':
      return timings.leaderlessPatience;
    case 'split_term':
      return timings.splitTermPatience;
    case 'unconfirmed':
      return timings.unconfirmedPatience;
  }
}
