/**
 * Choices of a promoter in the succession search, made by the production
 * `chooseLongestLog`.
 */
import {chooseLongestLog} from '../src/choose_successor';

import {at, toCandidate} from './succession_model_choice';
import {TARGETS} from './succession_model_state';
import {
  IDLE_PROMOTER,
  type SearchGuards,
  type SearchPromoter,
  type SearchState,
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

/** Log length of a primary that was found demoted, if it vouches for its log. */
function vouchedEnd(
  {foundEnd, answers}: SearchPromoter,
  {findsDemotedPrimary, checksLogOfPrimary}: SearchGuards,
): number {
  const isWhole = foundEnd > 0 && answers.every(length => length <= foundEnd);
  const vouches = findsDemotedPrimary && (isWhole || !checksLogOfPrimary);
  return vouches ? foundEnd : -1;
}

/** The answers' choice; undefined while it can't be made. */
export function successorOf(
  state: SearchState,
  promoter: SearchPromoter,
  guards: SearchGuards,
): number | undefined {
  const {from, fromTerm, answers, foundEnd, complete} = promoter;
  const primaryEnd =
    promoter.primaryEnd < 0
      ? vouchedEnd(promoter, guards)
      : promoter.primaryEnd;
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
  const stopped = answered.map(target =>
    toCandidate(target, at(answers, target)),
  );
  const {findsDemotedPrimary} = guards;
  if (findsDemotedPrimary && promoter.primaryEnd < 0 && foundEnd >= 0) {
    stopped.push(toCandidate(from, foundEnd));
  }
  const {successor} = chooseLongestLog({
    stopped,
    completeEnd: isKnown ? {term: 1, position: complete.end} : undefined,
    primary: primaryEnd < 0 ? undefined : toCandidate(from, primaryEnd),
    preferred: String(promoter.target),
    isMissingCommit: ({position}) => isMissing(position),
    mayMissCommit: ({position}) => isMissing(position) || mayMiss(position),
  });
  return successor && Number(successor.target);
}

/**
 * True if the group has a primary, or a promoter that starts now, and is answered
 * by all targets, can select one; also while faults go on. It selects without a
 * wait if the last primary answers with a log that holds every acknowledged commit.
 */
export function isServable(state: SearchState, guards: SearchGuards): boolean {
  const {targets, leader, isDemoted, isCut, acknowledged, orders} = state;
  const last = at(targets, leader);
  const isLed = last.isRunning && !isDemoted;
  const isDisturbed =
    isCut || targets.some(({isRunning, isListed}) => isRunning !== isListed);
  const holdsAll = ({isRunning, log}: (typeof targets)[number]) =>
    isRunning && acknowledged.every(commit => log.includes(commit));
  if (isLed || isDisturbed || orders.length > 0 || !targets.some(holdsAll)) {
    return true;
  }
  const promoter: SearchPromoter = {
    ...IDLE_PROMOTER,
    from: leader,
    fromTerm: last.term,
    foundEnd: last.isRunning ? last.log.length : -1,
    answers: targets.map(({isRunning, log}, index) =>
      isRunning && index !== leader ? log.length : -1,
    ),
  };
  const hasItsLog = holdsAll(last) && last.log.length > 0;
  const waitsForPrimary = guards.waitsForPrimary && hasItsLog;
  const after = {...guards, waitsForPrimary};
  return successorOf(state, promoter, after) !== undefined;
}
