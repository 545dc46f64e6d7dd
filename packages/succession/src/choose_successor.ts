/** Which target is promoted: a pure function of what the targets answered. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';

/** A target that was stopped, as it answered. */
export interface StoppedTarget {
  readonly target: string;
  /** End of its log; it receives nothing more. */
  readonly received: LogPosition;
  readonly isLeaving: boolean;
  readonly dataCentre: string;
}

/** What the choice goes by. */
export interface SuccessorChoice {
  readonly stopped: readonly StoppedTarget[];
  /** Targets that may hold an acknowledged commit and have not answered. */
  readonly unanswered: number;
  /** Log end of the demoted primary, if it answered: covers every commit. */
  readonly demotedAt: LogPosition | undefined;
}

function compareCandidates(left: StoppedTarget, right: StoppedTarget): number {
  return (
    compareLogPositions(right.received, left.received) ||
    Number(left.isLeaving) - Number(right.isLeaving) ||
    (left.target < right.target ? -1 : 1)
  );
}

/**
 * The target to promote; undefined if none certainly holds every acknowledged
 * commit. With the demoted primary's log end any target that has reached it
 * does. Without it, an acknowledged commit is at one of the replicas at least:
 * all of them must have answered, and the longest log holds it.
 */
export function chooseSuccessor(
  choice: SuccessorChoice,
): StoppedTarget | undefined {
  const {stopped, unanswered, demotedAt} = choice;
  const ranked = [...stopped].sort(compareCandidates);
  if (demotedAt !== undefined) {
    const complete = ranked.filter(
      ({received}) => compareLogPositions(received, demotedAt) >= 0,
    );
    return complete.find(({isLeaving}) => !isLeaving) ?? complete[0];
  }
  return unanswered === 0 ? ranked[0] : undefined;
}
