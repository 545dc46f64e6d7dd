/** Selects the member to promote. */
import {TargetStatus, compareLogPositions} from '@kelpstep/protocol';

import {canVote} from './member_status';
import {votersOf} from './voters';

/** Criteria of the selection in addition to the members' logs. */
export interface CandidatePreferences {
  /** Number of voters, used if the logs contain no configuration. */
  readonly groupSize: number;
  /** True for members to skip unless no other choice is safe. */
  isAvoided(memberId: string): boolean;
  /** Cost of a candidate; of those with equal logs the lowest cost wins. */
  cost(memberId: string): number;
}

/** True if fencing these members would allow one of them to be promoted. */
export function isQuorum(
  statuses: readonly TargetStatus[],
  groupSize: number,
): boolean {
  return statuses.some(status => mayLead(status, statuses, groupSize));
}

/**
 * True if a member may become primary by the configuration in its own log:
 * a majority of the voters, or every voter whatever its state, has a log that
 * is not ahead of the member's. The second case serves to bootstrap a group of
 * empty members and to complete an interrupted bootstrap. It is safe because
 * no voter holds a record that the member lacks.
 */
function mayLead(
  candidate: TargetStatus,
  fenced: readonly TargetStatus[],
  groupSize: number,
): boolean {
  const voters = votersOf(candidate, groupSize);
  const members = fenced.filter(({target}) => voters.includes(target));
  const notAhead = members.filter(
    ({end}) => compareLogPositions(end, candidate.end) <= 0,
  );
  return (
    voters.includes(candidate.target) &&
    (notAhead.filter(canVote).length >= voters.majority ||
      notAhead.length === voters.size)
  );
}

/**
 * Selects the member to promote among those fenced at one term. Returns
 * `undefined` if too few are fenced for a safe choice. Every majority holds
 * every confirmed record, so the highest log of any majority is a safe choice
 * even if avoided members have higher logs.
 */
export function chooseCandidate(
  fenced: readonly TargetStatus[],
  preferences: CandidatePreferences,
): TargetStatus | undefined {
  const eligible = fenced.filter(status =>
    mayLead(status, fenced, preferences.groupSize),
  );
  const preferred = eligible.filter(
    status => canVote(status) && !preferences.isAvoided(status.target),
  );
  return highestLog(preferred.length > 0 ? preferred : eligible, preferences);
}

function highestLog(
  statuses: readonly TargetStatus[],
  preferences: CandidatePreferences,
): TargetStatus | undefined {
  const sorted = [...statuses].sort(
    (left, right) =>
      compareLogPositions(right.end, left.end) ||
      preferences.cost(left.target) - preferences.cost(right.target),
  );
  return sorted[0];
}
