/**
 * Choices of a promoter in the succession search, made by the production
 * `chooseLongestLog`.
 */
import {chooseLongestLog} from '../src/choose_successor';

import {at, toCandidate} from './succession_model_choice';
import {TARGETS} from './succession_model_state';
import type {
  SearchGuards,
  SearchPromoter,
  SearchState,
} from './succession_search_state';

/** True if a replica may lack commits of the primary that led in `term`. */
function mayLackCopies(
  {mayLackCopies: isKnown, hasStarted, record, targets}: SearchState,
  term: number,
  {recordsCopies, startsUncertain}: SearchGuards,
): boolean {
  const isRecorded =
    record.term >= term &&
    !record.isBroken &&
    targets.every(target => target.isListed || !target.isRecorded);
  const isUncertain =
    startsUncertain &&
    hasStarted &&
    targets.some(({isRunning, isListed}) => isRunning && !isListed);
  return isKnown || isUncertain || (recordsCopies && !isRecorded);
}

/** The answers' choice; undefined while it can't be made. */
export function successorOf(
  state: SearchState,
  promoter: SearchPromoter,
  guards: SearchGuards,
): number | undefined {
  const {from, fromTerm, answers, primaryEnd, complete} = promoter;
  const replicas = TARGETS.filter(
    target => target !== from && at(state.targets, target).isListed,
  );
  const answered = replicas.filter(target => at(answers, target) >= 0);
  if (guards.needsAllReplicas && answered.length < replicas.length) {
    return undefined;
  }
  const isMissing = (length: number) =>
    guards.asksForCommits && length < state.knownCommits;
  const mayLack =
    guards.countsLostCopies && mayLackCopies(state, fromTerm, guards);
  const mayReturn = primaryEnd < 0 && at(state.targets, from).isListed;
  const mayMiss = (length: number) =>
    mayLack && (length < primaryEnd || (guards.waitsForPrimary && mayReturn));
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
