/** Which member a promoter may and should promote. */
import {TargetStatus, compareLogPositions} from '@kelpstep/protocol';

import {electorateOf} from './electorate';
import {isVoter} from './member_status';

/** What bears on the choice besides the logs. */
export interface ChoicePreferences {
  /** Members that count if the logs have no configuration. */
  readonly groupSize: number;
  /** Members to pass over if a majority remains without them. */
  isAvoided(memberId: string): boolean;
  /** Decides between equal logs: the lower number goes first. */
  cost(memberId: string): number;
}

/** True if one of these members, fenced, may be promoted. */
export function isQuorum(
  statuses: readonly TargetStatus[],
  groupSize: number,
): boolean {
  return statuses.some(status => mayLead(status, statuses, groupSize));
}

/**
 * True if a member may lead by the configuration of its own log: a majority of
 * voters whose logs are not higher, or no higher log among all members. The
 * latter bootstraps a group whose members are empty and completes a bootstrap
 * that was broken off: the log lacks nothing that any member holds.
 */
function mayLead(
  candidate: TargetStatus,
  fenced: readonly TargetStatus[],
  groupSize: number,
): boolean {
  const electorate = electorateOf(candidate, groupSize);
  const members = fenced.filter(({target}) => electorate.includes(target));
  const covered = members.filter(
    ({end}) => compareLogPositions(end, candidate.end) <= 0,
  );
  return (
    electorate.includes(candidate.target) &&
    (covered.filter(isVoter).length >= electorate.majority ||
      covered.length === electorate.size)
  );
}

/**
 * The member to promote of those that were fenced at one term, or undefined
 * if they do not decide it. Any majority holds every confirmed record, hence
 * the highest log of a majority may be taken while higher ones are avoided.
 */
export function chooseCandidate(
  fenced: readonly TargetStatus[],
  preferences: ChoicePreferences,
): TargetStatus | undefined {
  const able = fenced.filter(status =>
    mayLead(status, fenced, preferences.groupSize),
  );
  const wanted = able.filter(
    status => isVoter(status) && !preferences.isAvoided(status.target),
  );
  return highest(wanted.length > 0 ? wanted : able, preferences);
}

function highest(
  statuses: readonly TargetStatus[],
  preferences: ChoicePreferences,
): TargetStatus | undefined {
  const sorted = [...statuses].sort(
    (left, right) =>
      compareLogPositions(right.end, left.end) ||
      preferences.cost(left.target) - preferences.cost(right.target),
  );
  return sorted[0];
}
