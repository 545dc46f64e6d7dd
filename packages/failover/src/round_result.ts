/** Evaluates a round of status probes to all members. */
import type {LogPosition, TargetStatus} from '@kelpstep/protocol';

import {canVote, findPrimary} from './member_status';
import {votersOf} from './voters';

/** Result of a successful round. */
export interface RoundResult {
  readonly term: number;
  /** Member id of the term's primary. */
  readonly primary: string;
  /** End of the primary's log when it answered. */
  readonly end: LogPosition;
}

/**
 * Returns the result if a majority of the voters in the primary's log, and the
 * primary itself, answered with the primary's term. Then no later primary had
 * confirmed a record when the probes were sent, and the primary's log holds
 * every record confirmed until then. Returns `undefined` otherwise.
 */
export function evaluateRound(
  statuses: readonly TargetStatus[],
  groupSize: number,
): RoundResult | undefined {
  const primary = findPrimary(statuses);
  if (primary === undefined || !canVote(primary)) {
    return undefined;
  }
  const {term, target, end} = primary;
  const voters = votersOf(primary, groupSize);
  const inTerm = statuses.filter(
    status =>
      canVote(status) && status.term === term && voters.includes(status.target),
  );
  return inTerm.length >= voters.majority
    ? {term, primary: target, end}
    : undefined;
}
