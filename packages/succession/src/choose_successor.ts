/** Selects the target to promote; a pure function of the targets' answers. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';

/** A target that may be promoted, as described by its last answer. */
export interface SuccessorCandidate {
  readonly target: string;
  /** End of its log at the time of the answer. */
  readonly received: LogPosition;
  readonly isLeaving: boolean;
  readonly dataCentre: string;
}

/** Answers of a group's targets, from which the successor is selected. */
export interface SuccessorInput {
  /**
   * The targets that have answered: paused replicas, which receive no further
   * records, or replicas of a demoted primary.
   */
  readonly stopped: readonly SuccessorCandidate[];
  /**
   * Number of targets that may hold an acknowledged commit but didn't answer.
   */
  readonly unanswered: number;
  /**
   * Log end of the demoted primary, which includes every commit; undefined if
   * the primary was not demoted or did not answer.
   */
  readonly demotedLogEnd: LogPosition | undefined;
  /**
   * Target that is selected if it qualifies, because its promotion is already
   * ordered.
   */
  readonly preferred?: string;
}

function compareCandidates(
  left: SuccessorCandidate,
  right: SuccessorCandidate,
): number {
  return (
    compareLogPositions(right.received, left.received) ||
    Number(left.isLeaving) - Number(right.isLeaving) ||
    (left.target < right.target ? -1 : 1)
  );
}

/**
 * Returns the target to promote, or undefined if no target is known to hold
 * every acknowledged commit. If the demoted primary's log end is known, every
 * target that has reached it qualifies. Otherwise each acknowledged commit is
 * on at least one replica, so all replicas must have answered and the longest
 * log holds them all. Among the targets that qualify, one that is not leaving
 * is preferred.
 */
export function chooseSuccessor(
  input: SuccessorInput,
): SuccessorCandidate | undefined {
  const {stopped, unanswered, demotedLogEnd, preferred} = input;
  const ranked = [...stopped].sort(compareCandidates);
  const required = demotedLogEnd ?? ranked[0]?.received;
  if (required === undefined || (!demotedLogEnd && unanswered > 0)) {
    return undefined;
  }
  const complete = ranked.filter(
    ({received}) => compareLogPositions(received, required) >= 0,
  );
  return (
    complete.find(({target}) => target === preferred) ??
    complete.find(({isLeaving}) => !isLeaving) ??
    complete[0]
  );
}

/** Answers of a group's targets, all of which are stopped. */
export interface LongestLogInput {
  readonly stopped: readonly SuccessorCandidate[];
  /** Log end that is known to hold every acknowledged commit. */
  readonly completeEnd: LogPosition | undefined;
  /** The demoted primary, if it still holds its log. */
  readonly primary: SuccessorCandidate | undefined;
  readonly preferred?: string;
  /** True if a log with this end is known to lack an acknowledged commit. */
  isMissingCommit(end: LogPosition): boolean;
  /**
   * True if a log with this end lacks an acknowledged commit or may lack one: a
   * target outside the table may have received it.
   */
  mayMissCommit(end: LogPosition): boolean;
}

export interface LongestLogChoice {
  readonly successor: SuccessorCandidate | undefined;
  /** The target with the longest log, if it was passed over. */
  readonly incomplete?: string;
}

/**
 * Selects the longest log unless it lacks, or may lack, an acknowledged commit;
 * then the demoted primary, which holds them all.
 */
export function chooseLongestLog(input: LongestLogInput): LongestLogChoice {
  const {stopped, completeEnd, primary, preferred = ''} = input;
  const longest = chooseSuccessor({
    stopped,
    unanswered: 0,
    demotedLogEnd: undefined,
    preferred,
  });
  if (longest === undefined) {
    return {successor: undefined};
  }
  const {received, target} = longest;
  const isComplete =
    completeEnd !== undefined &&
    compareLogPositions(received, completeEnd) >= 0;
  const lacksCommit = isComplete
    ? input.isMissingCommit(received)
    : input.mayMissCommit(received);
  return lacksCommit
    ? {successor: primary, incomplete: target}
    : {successor: longest};
}
