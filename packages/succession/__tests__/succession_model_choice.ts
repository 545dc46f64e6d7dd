/**
 * Choices of a promoter in the succession model, made by the production
 * `chooseLongestLog`.
 */
import {
  type SuccessorCandidate,
  chooseLongestLog,
} from '../src/choose_successor';

import {
  type Guards,
  type ModelPromoter,
  type ModelState,
  TARGETS,
} from './succession_model_state';

export function at<T>(items: readonly T[], index: number): T {
  return items[index] as T;
}

export function toCandidate(
  target: number,
  length: number,
): SuccessorCandidate {
  return {
    target: String(target),
    received: {term: 1, position: length},
    isLeaving: false,
    dataCentre: '',
  };
}

/** The answers' choice; undefined while it can't be made. */
export function successorOf(
  state: ModelState,
  promoter: ModelPromoter,
  guards: Guards,
): number | undefined {
  const {from, answers, primaryEnd, complete} = promoter;
  const replicas = TARGETS.filter(
    target => target !== from && at(state.targets, target).isListed,
  );
  const answered = replicas.filter(target => at(answers, target) >= 0);
  if (guards.needsAllReplicas && answered.length < replicas.length) {
    return undefined;
  }
  const isMissing = (length: number) =>
    guards.asksForCommits && length < state.knownCommits;
  const mayMiss = (length: number) =>
    guards.countsLostCopies && state.mayLackCopies && length < primaryEnd;
  const isKnown = complete.end >= 0 && complete.primaryEnd === primaryEnd;
  const {successor} = chooseLongestLog({
    stopped: answered.map(target => toCandidate(target, at(answers, target))),
    completeEnd: isKnown ? {term: 1, position: complete.end} : undefined,
    primary: primaryEnd < 0 ? undefined : toCandidate(from, primaryEnd),
    preferred: String(promoter.target),
    isMissingCommit: ({position}) => isMissing(position),
    mayMissCommit: ({position}) => isMissing(position) || mayMiss(position),
  });
  return successor && Number(successor.target);
}
