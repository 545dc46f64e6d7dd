/** Detects problems of a group's primary. */
import type {TargetStatus} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {LinkCondition, LossReason} from './member_link';
import {canVote, findPrimary} from './member_status';
import type {FailoverTimings} from './timings';
import {majorityOf} from './voters';

/** State of a member from which a failure detector derives problems. */
export interface MonitoredMember {
  readonly id: string;
  readonly address: string;
  readonly condition: LinkCondition;
  readonly lossReason: LossReason | undefined;
  /** The last status received; `undefined` if there is none. */
  readonly status: TargetStatus | undefined;
  /** Time for which the member has been reachable; 0 if it is not. */
  readonly reachableFor: Milliseconds;
}

/** Kind of problem that may require a promotion. */
export type ProblemKind =
  /**
   * The primary's connection broke or is unresponsive, and a new one failed.
   */
  | 'primary_lost'
  /** The primary responds, but too few replicas reach it to confirm records. */
  | 'primary_isolated'
  /** No member is the primary of the highest term. */
  | 'leaderless'
  /** Members are at a higher term and refuse the primary's records. */
  | 'split_term'
  /** An interrupted bootstrap: too few members have joined the primary. */
  | 'unconfirmed';

/** A problem; repeated observations of it are equal in all fields. */
export interface Problem {
  readonly kind: ProblemKind;
  /** Term of the primary concerned, or the highest term seen. */
  readonly term: number;
  /** Member id of the primary concerned, if there is one. */
  readonly primary: string | undefined;
}

export interface GroupProblemInput {
  /** The voters of the group. */
  readonly members: readonly MonitoredMember[];
  /** The newest confirmed leadership known to this proxy. */
  readonly known: {readonly term: number; readonly primary: string} | undefined;
  readonly confirmedTerm: number;
  /** Highest term of the members that are not voters yet. */
  readonly joinersTerm?: number;
  readonly isolationLimit: Milliseconds;
  readonly rejoinLimit: Milliseconds;
}

/** True if every member is either reachable or lost. */
export function isSettled(members: readonly MonitoredMember[]): boolean {
  return members.every(
    ({condition}) => condition === 'open' || condition === 'lost',
  );
}

/**
 * Returns the problem of a group, or `undefined` if there is none or the state
 * of the members is not known well enough yet.
 */
export function findProblem(input: GroupProblemInput): Problem | undefined {
  const statuses = availableStatuses(input.members);
  const highest = Math.max(0, ...statuses.map(status => status.term));
  const leader = currentLeader(input, statuses);
  if (leader === undefined) {
    return isSettled(input.members)
      ? {kind: 'leaderless', term: highest, primary: undefined}
      : undefined;
  }
  const {term, primary} = leader;
  const kind = problemKindOf(input, statuses, leader);
  return kind && {kind, term, primary};
}

interface Leader {
  readonly term: number;
  readonly primary: string;
}

function availableStatuses(
  members: readonly MonitoredMember[],
): TargetStatus[] {
  return members.flatMap(member =>
    member.status !== undefined && member.condition !== 'lost'
      ? [member.status]
      : [],
  );
}

/**
 * Returns the primary of the highest term for which one is known, from the
 * known leadership, a primary's own status or the replicas that follow it.
 */
function currentLeader(
  {members, known}: GroupProblemInput,
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

function problemKindOf(
  input: GroupProblemInput,
  statuses: readonly TargetStatus[],
  leader: Leader,
): ProblemKind | undefined {
  const member = input.members.find(({id}) => id === leader.primary);
  const higherTermCount = statuses.filter(
    status => status.term > leader.term,
  ).length;
  if (
    member === undefined ||
    higherTermCount >= majorityOf(input.members.length)
  ) {
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
  if (higherTermCount > 0 || (input.joinersTerm ?? 0) > leader.term) {
    return 'split_term';
  }
  if (isIsolated(input, leader, member.address)) {
    return 'primary_isolated';
  }
  return isBootstrapIncomplete(input, statuses, leader)
    ? 'unconfirmed'
    : undefined;
}

/**
 * True if the primary's barrier can't reach a majority because members are
 * empty and not at its term. Only a promotion that fences every member can
 * admit them.
 */
function isBootstrapIncomplete(
  {members, confirmedTerm}: GroupProblemInput,
  statuses: readonly TargetStatus[],
  leader: Leader,
): boolean {
  const voteCount = statuses.filter(canVote).length;
  return (
    confirmedTerm < leader.term &&
    statuses.length === members.length &&
    voteCount < majorityOf(members.length) &&
    statuses.some(status => status.term < leader.term)
  );
}

/**
 * True if a majority of the members are replicas that have lost contact with
 * the primary, so that no record can be confirmed. A replica that was
 * unreachable itself counts only after it has had time to reconnect to its
 * primary.
 */
function isIsolated(
  {members, isolationLimit, rejoinLimit}: GroupProblemInput,
  leader: Leader,
  address: string,
): boolean {
  const disconnected = members.filter(
    ({condition, status, reachableFor}) =>
      condition !== 'lost' &&
      status?.term === leader.term &&
      status.following === address &&
      (status.primarySilence ?? 0) > isolationLimit &&
      reachableFor > rejoinLimit,
  );
  return disconnected.length >= majorityOf(members.length);
}

/** Time for which a problem must last before the first rank acts on it. */
export function actionDelayFor(
  kind: ProblemKind,
  timings: FailoverTimings,
): Milliseconds {
  switch (kind) {
    case 'primary_lost':
    case 'primary_isolated':
      return 0;
    case 'leaderless':
      return timings.leaderlessTimeout;
    case 'split_term':
      return timings.splitTermTimeout;
    case 'unconfirmed':
      return timings.unconfirmedTimeout;
  }
}
