/** Which member a promoter may and should promote. */
import {TargetStatus, compareLogPositions} from '@kelpstep/protocol';

import {isVoter, majorityOf} from './member_status';

/** What bears on the choice besides the logs. */
export interface ChoicePreferences {
  readonly groupSize: number;
  /** Members to pass over if a majority remains without them. */
  isAvoided(memberId: string): boolean;
  /** Decides between equal logs: the lower number goes first. */
  cost(memberId: string): number;
}

/**
 * True if these members, fenced, decide a term: a majority of voters, or
 * every member of the group. The latter bootstraps a group whose members are
 * empty and completes a bootstrap that was broken off: with every log at hand
 * the highest lacks nothing that any of them holds.
 */
export function isQuorum(
  statuses: readonly TargetStatus[],
  groupSize: number,
): boolean {
  const voters = statuses.filter(isVoter).length;
  return voters >= majorityOf(groupSize) || statuses.length === groupSize;
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
  const {groupSize} = preferences;
  if (!isQuorum(fenced, groupSize)) {
    return undefined;
  }
  const wanted = fenced.filter(
    status => isVoter(status) && !preferences.isAvoided(status.target),
  );
  const enough = wanted.length >= majorityOf(groupSize);
  return highest(enough ? wanted : fenced, preferences);
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
