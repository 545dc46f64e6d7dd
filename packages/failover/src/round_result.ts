/** What a round of status questions to all members proves. */
import type {LogPosition, TargetStatus} from '@kelpstep/protocol';

import {electorateOf} from './electorate';
import {findPrimary, isVoter} from './member_status';

/** A round that succeeded. */
export interface RoundResult {
  readonly term: number;
  /** Member id of the term's primary. */
  readonly primary: string;
  /** End of the primary's log as it answered. */
  readonly end: LogPosition;
}

/**
 * Succeeds if a majority, by the primary's log and with the primary among
 * them, answered its term. Then no
 * later primary had confirmed anything when the questions were sent, and the
 * primary's log holds all that was confirmed until then.
 */
export function evaluateRound(
  answers: readonly TargetStatus[],
  groupSize: number,
): RoundResult | undefined {
  const primary = findPrimary(answers);
  if (primary === undefined || !isVoter(primary)) {
    return undefined;
  }
  const {term, target, end} = primary;
  const electorate = electorateOf(primary, groupSize);
  const inTerm = answers.filter(
    answer =>
      isVoter(answer) &&
      answer.term === term &&
      electorate.includes(answer.target),
  );
  return inTerm.length >= electorate.majority
    ? {term, primary: target, end}
    : undefined;
}
