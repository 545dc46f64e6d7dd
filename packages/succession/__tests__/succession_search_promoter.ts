/**
 * Steps of a promoter in the succession search, as in the succession model. A
 * promoter holds the row until somebody else writes it, in place of a version.
 */
import {at} from './succession_model_choice';
import {replaced} from './succession_model_promoter';
import {
  EPOCHS_PER_ERA,
  MAXIMUM_STARTS,
  NO_COMPLETE_LOG,
  TARGETS,
} from './succession_model_state';
import {successorOf} from './succession_search_choice';
import {abandonSteps, endSteps, resumeSteps} from './succession_search_end';
import {
  ENDED_PROMOTER,
  type FaultMix,
  type SearchGuards,
  type SearchPromoter,
  type SearchState,
} from './succession_search_state';
import {
  type SearchStep,
  withPromoter,
  writeRow,
} from './succession_search_writes';

/**
 * A promoter takes the row; possible in every phase of the row. It may take the
 * first primary for the present one.
 */
function* startSteps(
  state: SearchState,
  guards: SearchGuards,
  index: number,
): Generator<SearchStep> {
  const promoter = at(state.promoters, index);
  // The promoters are alike, so the first one starts first.
  const isTurn = index === 0 || at(state.promoters, index - 1).starts > 0;
  const isIdle = promoter.step === 'idle' && promoter.starts < MAXIMUM_STARTS;
  if (!isIdle || !isTurn) {
    return;
  }
  const {era, row} = state;
  const epoch = Math.max(row.epoch, era * EPOCHS_PER_ERA) + 1;
  const {isRunning} = at(state.targets, state.leader);
  // A change follows another one only after the duration of a promotion.
  if (row.phase !== 'ordered' && state.orders.some(order => order.isExecuted)) {
    return;
  }
  const isLost = row.target === state.leader && (!isRunning || state.isCut);
  const keepsOrder = guards.keepsOrders && row.phase === 'ordered' && !isLost;
  const phase = keepsOrder ? 'ordered' : 'stopping';
  const target = keepsOrder ? row.target : -1;
  const complete =
    keepsOrder && row.complete.primaryEnd >= 0 ? row.complete : NO_COMPLETE_LOG;
  const taken = withPromoter(state, index, {holdsRow: true});
  const isContested =
    row.isContested || (!keepsOrder && row.phase === 'ordered');
  const next = writeRow(taken, guards, index, {
    epoch,
    phase,
    target,
    isContested,
    complete,
  });
  if (next === undefined) {
    return;
  }
  for (const from of new Set([state.leader, 0])) {
    yield {
      name: `promoter ${index} takes the row of ${from}${keepsOrder ? ', keeps its order' : ''}`,
      state: withPromoter(next, index, {
        step: phase,
        epoch,
        from,
        fromTerm: from === state.leader ? at(state.targets, from).term : 1,
        target,
        // The row tells the end of the primary that the target has replaced.
        complete: from === target ? NO_COMPLETE_LOG : complete,
        primaryEnd: -1,
        foundEnd: -1,
        sawStopped: false,
        answers: [-1, -1, -1],
        starts: promoter.starts + 1,
      }),
    };
  }
}

/** A replica is paused and answers; undefined if it does not. */
function pauseReplica(
  state: SearchState,
  guards: SearchGuards,
  index: number,
  replica: number,
): SearchState | undefined {
  const {from, fromTerm, answers} = at(state.promoters, index);
  const target = at(state.targets, replica);
  const term = fromTerm + 1;
  const hasNewTerm = target.term >= term;
  const isAsked = replica !== from && target.isRunning && target.isListed;
  const isUnanswered = isAsked && at(answers, replica) < 0;
  if (!isUnanswered || (hasNewTerm && guards.checksTerms)) {
    return undefined;
  }
  const isStopped =
    guards.stopsReplicas && !hasNewTerm && replica !== state.leader;
  const targets = isStopped
    ? replaced(state.targets, replica, {...target, pausedAt: term})
    : state.targets;
  return withPromoter({...state, targets}, index, {
    answers: replaced(answers, replica, target.log.length),
  });
}

/** Replicas answer one after another; lost answers are not modelled. */
function* pauseSteps(
  state: SearchState,
  guards: SearchGuards,
  index: number,
): Generator<SearchStep> {
  if (at(state.promoters, index).step !== 'stopping') {
    return;
  }
  for (const replica of TARGETS) {
    const paused = pauseReplica(state, guards, index, replica);
    if (paused !== undefined) {
      yield {name: `promoter ${index} pauses ${replica}`, state: paused};
    }
  }
}

/** A promoter finds the primary as a replica, which an earlier one has demoted. */
function* findSteps(state: SearchState, index: number): Generator<SearchStep> {
  const {step, from, fromTerm, foundEnd} = at(state.promoters, index);
  if (step !== 'stopping') {
    return;
  }
  const {isRunning, isListed, term, log} = at(state.targets, from);
  const isReached = !state.isCut && isRunning && isListed;
  const isLast = from === state.leader && term === fromTerm;
  if (isReached && isLast && state.isDemoted && foundEnd !== log.length) {
    yield {
      name: `promoter ${index} finds ${from} demoted`,
      state: withPromoter(state, index, {foundEnd: log.length}),
    };
  }
}

/**
 * A promoter demotes the primary that it replaces, or finds that it can't be
 * reached or leads no more, and compares the logs after that. The answers arrive
 * together: without a primary their order does not matter.
 */
function* stopPrimarySteps(
  state: SearchState,
  guards: SearchGuards,
  index: number,
): Generator<SearchStep> {
  const promoter = at(state.promoters, index);
  const {step, from, fromTerm, sawStopped, complete} = promoter;
  if (step !== 'ordered' || sawStopped) {
    return;
  }
  const {isRunning, term, log} = at(state.targets, from);
  const isReached = !state.isCut && isRunning;
  const isLeading = from === state.leader && term === fromTerm;
  const isDemoted =
    state.isDemoted || (guards.stopsPrimary && isReached && isLeading);
  const isKept = isDemoted && isReached && isLeading;
  // Whoever demotes it knows its log, and the row tells a later promoter.
  const isKnown =
    !state.isDemoted ||
    (complete.primaryEnd >= 0 && log.length >= complete.primaryEnd);
  const next = withPromoter({...state, isDemoted}, index, {
    sawStopped: true,
    primaryEnd: isKept && isKnown ? log.length : -1,
    foundEnd: isKept && !isKnown ? log.length : -1,
  });
  const name = `promoter ${index} stops ${from}`;
  if (!guards.comparesAgain) {
    yield {name, state: next};
    return;
  }
  const listed = TARGETS.filter(target => at(state.targets, target).isListed);
  for (const silent of [undefined, ...listed]) {
    if (silent !== from) {
      const after = silent === undefined ? '' : `, ${silent} is silent`;
      const compared = compare(next, guards, index, silent);
      yield {name: name + after, state: compared};
    }
  }
}

/** All reachable replicas but the silent one are paused and answer. */
function compare(
  state: SearchState,
  guards: SearchGuards,
  index: number,
  silent: number | undefined,
): SearchState {
  return TARGETS.filter(replica => replica !== silent).reduce(
    (next, replica) => pauseReplica(next, guards, index, replica) ?? next,
    withPromoter(state, index, {answers: [-1, -1, -1]}),
  );
}

/** A target is selected, or another one than before. */
function* chooseSteps(
  state: SearchState,
  guards: SearchGuards,
  mix: FaultMix,
  index: number,
): Generator<SearchStep> {
  const promoter = at(state.promoters, index);
  const {step, choices} = promoter;
  const mayChoose = step === 'stopping' || step === 'ordered';
  const target = mayChoose ? successorOf(state, promoter, guards) : undefined;
  const isNew = target !== undefined && target !== promoter.target;
  if (!isNew || choices >= mix.choices) {
    return;
  }
  const epoch = step === 'stopping' ? promoter.epoch : promoter.epoch + 1;
  const next = writeRow(state, guards, index, {
    epoch,
    phase: 'ordered',
    target,
    isContested: state.row.isContested || step === 'ordered',
    complete: NO_COMPLETE_LOG,
  });
  yield {
    name: `promoter ${index} chooses ${target}${next ? '' : ', too late'}`,
    state:
      next === undefined
        ? withPromoter(state, index, ENDED_PROMOTER)
        : withPromoter(next, index, {
            step: 'ordered',
            epoch,
            target,
            choices: choices + 1,
            sawStopped: false,
          }),
  };
}

/** True if an order may be sent, as far as the promoter knows. */
function mayOrder(
  state: SearchState,
  guards: SearchGuards,
  promoter: SearchPromoter,
): boolean {
  const {fromTerm, target, sawStopped} = promoter;
  const hasNewTerm = state.targets.some(({term}) => term > fromTerm);
  return (
    sawStopped &&
    promoter.holdsRow &&
    (!guards.checksTerms || !hasNewTerm) &&
    (!guards.comparesAgain || successorOf(state, promoter, guards) === target)
  );
}

/**
 * A promotion order is sent; it may be executed at any later time, or never. An
 * unanswered order is followed by another for the same target, with a higher
 * epoch that is written to the row first.
 */
function* orderSteps(
  state: SearchState,
  guards: SearchGuards,
  mix: FaultMix,
  index: number,
): Generator<SearchStep> {
  const promoter = at(state.promoters, index);
  const {step, epoch, target, sent} = promoter;
  if (step !== 'ordered') {
    return;
  }
  if (sent < mix.orders && mayOrder(state, guards, promoter)) {
    const row = {
      epoch: epoch + 1,
      phase: 'ordered' as const,
      target,
      isContested: state.row.isContested,
      complete: state.row.complete,
    };
    const written = sent === 0 ? state : writeRow(state, guards, index, row);
    const orderEpoch = sent === 0 ? epoch : epoch + 1;
    if (written !== undefined) {
      const {from, primaryEnd, foundEnd, answers} = promoter;
      const ownEnd = Math.max(primaryEnd, foundEnd);
      const end = target === from ? ownEnd : at(answers, target);
      const complete = {end, primaryEnd};
      const order = {epoch: orderEpoch, target, isExecuted: false};
      const orders = [...state.orders, order];
      const change = {
        sent: sent + 1,
        epoch: orderEpoch,
        complete,
      };
      yield {
        name: `promoter ${index} orders ${target} at ${orderEpoch}`,
        state: withPromoter(
          {...written, orders, row: {...written.row, complete}},
          index,
          change,
        ),
      };
    }
  }
}

/** All steps that a promoter may take next. */
export function* promoterSteps(
  state: SearchState,
  guards: SearchGuards,
  mix: FaultMix,
  index: number,
): Generator<SearchStep> {
  const {step, target} = at(state.promoters, index);
  if (step === 'ordered' && target === state.leader && !state.isDemoted) {
    // Before anything else, a promoter finds that its target leads.
    yield* endSteps(state, guards, index, 'done');
    return;
  }
  yield* startSteps(state, guards, index);
  yield* pauseSteps(state, guards, index);
  yield* findSteps(state, index);
  yield* chooseSteps(state, guards, mix, index);
  yield* stopPrimarySteps(state, guards, index);
  yield* orderSteps(state, guards, mix, index);
  yield* abandonSteps(state, guards, index);
  yield* resumeSteps(state, guards, index);
}
