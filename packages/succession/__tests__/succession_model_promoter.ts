/**
 * Steps of a promoter in the succession model: a proxy that changes the primary.
 * A promoter that is never scheduled again models a crashed or suspended process;
 * one that is scheduled late models a process that resumes after a suspension.
 */
import {at, successorOf} from './succession_model_choice';
import {
  EPOCHS_PER_ERA,
  type Guards,
  MAXIMUM_CHOICES,
  MAXIMUM_ORDERS,
  MAXIMUM_STARTS,
  type ModelPromoter,
  type ModelRow,
  type ModelState,
  NO_COMPLETE_LOG,
  TARGETS,
} from './succession_model_state';

/** A step of the model, and the state after it. */
export interface ModelStep {
  readonly name: string;
  readonly state: ModelState;
}

export function replaced<T>(items: readonly T[], index: number, item: T): T[] {
  return items.map((other, position) => (position === index ? item : other));
}

export function isPrefix<T>(left: readonly T[], right: readonly T[]): boolean {
  return left.every((commit, index) => right[index] === commit);
}

function isRowAt(
  {era, row}: ModelState,
  expected: {readonly era: number; readonly version: number},
): boolean {
  return era === expected.era && row.version === expected.version;
}

function writeRow(
  state: ModelState,
  guards: Guards,
  expected: {readonly era: number; readonly version: number},
  row: Omit<ModelRow, 'version'>,
): ModelState | undefined {
  if (guards.comparesVersions && !isRowAt(state, expected)) {
    return undefined;
  }
  return {...state, row: {...row, version: state.row.version + 1}};
}

function withPromoter(
  state: ModelState,
  index: number,
  change: Partial<ModelPromoter>,
): ModelState {
  const promoter = {...at(state.promoters, index), ...change};
  return {...state, promoters: replaced(state.promoters, index, promoter)};
}

/**
 * A promoter takes the row; possible in every phase of the row. It may take the
 * first primary for the present one.
 */
function* startSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
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
  const expected = {era, version: row.version};
  const complete =
    keepsOrder && row.complete.primaryEnd >= 0 ? row.complete : NO_COMPLETE_LOG;
  const next = writeRow(state, guards, expected, {
    epoch,
    phase,
    target,
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
        era,
        version: next.row.version,
        epoch,
        from,
        fromTerm: from === state.leader ? at(state.targets, from).term : 1,
        target,
        complete,
        answers: [-1, -1, -1],
        starts: promoter.starts + 1,
      }),
    };
  }
}

/** A replica is paused and answers; undefined if it does not. */
function pauseReplica(
  state: ModelState,
  guards: Guards,
  index: number,
  replica: number,
): ModelState | undefined {
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
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
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

/**
 * A promoter demotes the primary that it replaces, or finds that it can't be
 * reached or leads no more, and compares the logs after that. The answers arrive
 * together: without a primary their order does not matter.
 */
function* stopPrimarySteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  const {step, from, fromTerm, sawStopped} = promoter;
  if (step !== 'ordered' || sawStopped) {
    return;
  }
  const {isRunning, term} = at(state.targets, from);
  const isReached = !state.isCut && isRunning;
  const isLeading = from === state.leader && term === fromTerm;
  const isDemoted =
    state.isDemoted || (guards.stopsPrimary && isReached && isLeading);
  const isKept = isDemoted && isReached && isLeading;
  const next = withPromoter({...state, isDemoted}, index, {
    sawStopped: true,
    primaryEnd: isKept ? at(state.targets, from).log.length : -1,
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
  state: ModelState,
  guards: Guards,
  index: number,
  silent: number | undefined,
): ModelState {
  return TARGETS.filter(replica => replica !== silent).reduce(
    (next, replica) => pauseReplica(next, guards, index, replica) ?? next,
    withPromoter(state, index, {answers: [-1, -1, -1]}),
  );
}

/** A target is selected, or another one than before. */
function* chooseSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  const {step, choices} = promoter;
  const mayChoose = step === 'stopping' || step === 'ordered';
  const target = mayChoose ? successorOf(state, promoter, guards) : undefined;
  const isNew = target !== undefined && target !== promoter.target;
  if (!isNew || choices >= MAXIMUM_CHOICES) {
    return;
  }
  const epoch = step === 'stopping' ? promoter.epoch : promoter.epoch + 1;
  const next = writeRow(state, guards, promoter, {
    epoch,
    phase: 'ordered',
    target,
    complete: NO_COMPLETE_LOG,
  });
  yield {
    name: `promoter ${index} chooses ${target}${next ? '' : ', too late'}`,
    state:
      next === undefined
        ? withPromoter(state, index, {step: 'ended'})
        : withPromoter(next, index, {
            step: 'ordered',
            epoch,
            target,
            version: next.row.version,
            choices: choices + 1,
            sawStopped: false,
          }),
  };
}

/** True if an order may be sent, as far as the promoter knows. */
function mayOrder(
  state: ModelState,
  guards: Guards,
  promoter: ModelPromoter,
): boolean {
  const {fromTerm, target, sawStopped} = promoter;
  const hasNewTerm = state.targets.some(({term}) => term > fromTerm);
  return (
    sawStopped &&
    isRowAt(state, promoter) &&
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
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  const {step, epoch, target, version, sent} = promoter;
  if (step !== 'ordered') {
    return;
  }
  if (sent < MAXIMUM_ORDERS && mayOrder(state, guards, promoter)) {
    const row = {
      epoch: epoch + 1,
      phase: 'ordered' as const,
      target,
      complete: state.row.complete,
    };
    const written = sent === 0 ? state : writeRow(state, guards, promoter, row);
    const orderEpoch = sent === 0 ? epoch : epoch + 1;
    if (written !== undefined) {
      const {from, primaryEnd, answers} = promoter;
      const end = target === from ? primaryEnd : at(answers, target);
      const complete = {end, primaryEnd};
      const order = {epoch: orderEpoch, target, isExecuted: false};
      const orders = [...state.orders, order];
      const change = {
        sent: sent + 1,
        epoch: orderEpoch,
        version: sent === 0 ? version : written.row.version,
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

/** The end of a change is written; the targets are resumed afterwards. */
function* endSteps(
  state: ModelState,
  guards: Guards,
  index: number,
  phase: 'done' | 'abandoned',
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  const {epoch, target} = promoter;
  const next = writeRow(state, guards, promoter, {
    epoch,
    phase,
    target,
    complete: NO_COMPLETE_LOG,
  });
  if (next !== undefined) {
    const isFenced = guards.fencesOrders && phase === 'done';
    const fence = isFenced ? Math.max(state.fence, epoch + 1) : state.fence;
    yield {
      name: `promoter ${index} ends: ${phase}`,
      state: withPromoter({...next, fence}, index, {
        step: 'resuming',
        version: next.row.version,
      }),
    };
  }
}

/** A change is abandoned, for any reason. */
function* abandonSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  if (at(state.promoters, index).step === 'stopping') {
    yield* endSteps(state, guards, index, 'abandoned');
  }
}

/** A promoter that has ended its change resumes the paused targets. */
function* resumeSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  const isInTime = isRowAt(state, promoter);
  if (promoter.step !== 'resuming' || (guards.resumesInTime && !isInTime)) {
    return;
  }
  for (const stopped of TARGETS) {
    const target = at(state.targets, stopped);
    if (target.pausedAt > target.term) {
      const targets = replaced(state.targets, stopped, {
        ...target,
        pausedAt: 0,
      });
      const name = `promoter ${index} resumes ${stopped}`;
      yield {name, state: {...state, targets}};
    }
  }
}

/** All steps that a promoter may take next. */
export function* promoterSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const {step, target} = at(state.promoters, index);
  if (step === 'ordered' && target === state.leader && !state.isDemoted) {
    // Before anything else, a promoter finds that its target leads.
    yield* endSteps(state, guards, index, 'done');
    return;
  }
  yield* startSteps(state, guards, index);
  yield* pauseSteps(state, guards, index);
  yield* chooseSteps(state, guards, index);
  yield* stopPrimarySteps(state, guards, index);
  yield* orderSteps(state, guards, index);
  yield* abandonSteps(state, guards, index);
  yield* resumeSteps(state, guards, index);
}
