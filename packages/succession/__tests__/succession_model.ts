/**
 * Model of a change of primary for an exhaustive state search: three targets,
 * two promoters (proxies that change the primary), and messages that are lost
 * or delayed. The target is selected by the production `chooseSuccessor`. A
 * promoter that is never scheduled again models a crashed or suspended process;
 * one that is scheduled late models a process that resumes after a suspension.
 */
import {chooseSuccessor} from '../src/choose_successor';

import {
  EPOCHS_PER_ERA,
  type Guards,
  INITIAL_ROW,
  MAXIMUM_COMMITS,
  MAXIMUM_ORDERS,
  MAXIMUM_RESTORES,
  MAXIMUM_STARTS,
  type ModelPromoter,
  type ModelRow,
  type ModelState,
  PROMOTERS,
  INITIAL_STATE,
  TARGETS,
} from './succession_model_state';

export interface SearchResult {
  readonly states: number;
  /** Shortest sequence of steps that loses a commit; undefined if none does. */
  readonly counterexample: readonly string[] | undefined;
}

interface ModelStep {
  readonly name: string;
  readonly state: ModelState;
}

function at<T>(items: readonly T[], index: number): T {
  return items[index] as T;
}

function replaced<T>(items: readonly T[], index: number, item: T): T[] {
  return items.map((other, position) => (position === index ? item : other));
}

function isPrefix(left: readonly string[], right: readonly string[]): boolean {
  return left.every((commit, index) => right[index] === commit);
}

/** A commit at the primary, received by one replica or by none. */
function* commitSteps(state: ModelState): Generator<ModelStep> {
  const leader = at(state.targets, state.leader);
  if (!leader.isRunning || state.commits >= MAXIMUM_COMMITS) {
    return;
  }
  const commit = `${leader.term}.${state.commits}`;
  const log = [...leader.log, commit];
  const commits = state.commits + 1;
  const written = replaced(state.targets, state.leader, {...leader, log});
  yield {
    name: `${commit} unsent`,
    state: {...state, targets: written, commits},
  };
  for (const replica of TARGETS) {
    const target = at(state.targets, replica);
    const mayReceive =
      replica !== state.leader &&
      target.isRunning &&
      target.pausedAt <= target.term &&
      target.term === leader.term &&
      isPrefix(target.log, log);
    if (mayReceive) {
      const targets = replaced(written, replica, {...target, log});
      const acknowledged = [...state.acknowledged, commit];
      const name = `${commit} received by ${replica}`;
      yield {name, state: {...state, targets, commits, acknowledged}};
    }
  }
}

function* crashSteps(state: ModelState): Generator<ModelStep> {
  const leader = at(state.targets, state.leader);
  if (leader.isRunning && state.crashes === 0) {
    const targets = replaced(state.targets, state.leader, {
      ...leader,
      isRunning: false,
    });
    yield {name: 'primary crashes', state: {...state, targets, crashes: 1}};
  }
}

/**
 * The store returns from a copy without the row. Its version is given out
 * again.
 */
function* restoreSteps(
  state: ModelState,
  guards: Guards,
): Generator<ModelStep> {
  if (state.era < MAXIMUM_RESTORES) {
    const row = guards.remembersLostRows
      ? {...state.row, version: INITIAL_ROW.version}
      : INITIAL_ROW;
    yield {
      name: 'the store is restored',
      state: {...state, era: state.era + 1, row},
    };
  }
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

/** A promoter takes the row; possible in every phase of the row. */
function* startSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  if (promoter.step !== 'idle' || promoter.starts >= MAXIMUM_STARTS) {
    return;
  }
  const {era, row} = state;
  const epoch = Math.max(row.epoch, era * EPOCHS_PER_ERA) + 1;
  const repeatsOrder = guards.repeatsOrders && row.phase === 'ordered';
  const phase = repeatsOrder ? 'ordered' : 'stopping';
  const target = repeatsOrder ? row.target : -1;
  const expected = {era, version: row.version};
  const next = writeRow(state, guards, expected, {epoch, phase, target});
  if (next !== undefined) {
    yield {
      name: `promoter ${index} takes the row${repeatsOrder ? ', repeats' : ''}`,
      state: withPromoter(next, index, {
        step: phase,
        era,
        version: next.row.version,
        epoch,
        from: state.leader,
        target,
        answers: [-1, -1, -1],
        starts: promoter.starts + 1,
      }),
    };
  }
}

/**
 * A replica is paused and its answer arrives; lost answers are not modelled.
 */
function* stopSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  if (promoter.step !== 'stopping') {
    return;
  }
  for (const replica of TARGETS) {
    const target = at(state.targets, replica);
    const isUnanswered =
      replica !== promoter.from &&
      target.isRunning &&
      at(promoter.answers, replica) < 0;
    if (!isUnanswered) {
      continue;
    }
    const term = at(state.targets, promoter.from).term + 1;
    const isStopped = guards.stopsReplicas && term > target.term;
    const targets = isStopped
      ? replaced(state.targets, replica, {...target, pausedAt: term})
      : state.targets;
    const answers = replaced(promoter.answers, replica, target.log.length);
    yield {
      name: `promoter ${index} pauses ${replica}`,
      state: withPromoter({...state, targets}, index, {answers}),
    };
  }
}

function* chooseSteps(
  state: ModelState,
  guards: Guards,
  index: number,
): Generator<ModelStep> {
  const promoter = at(state.promoters, index);
  if (promoter.step !== 'stopping') {
    return;
  }
  const replicas = TARGETS.filter(target => target !== promoter.from);
  const answered = replicas.filter(target => at(promoter.answers, target) >= 0);
  const unanswered = replicas.length - answered.length;
  const successor = chooseSuccessor({
    stopped: answered.map(target => ({
      target: String(target),
      received: {term: 1, position: at(promoter.answers, target)},
      isLeaving: false,
      dataCentre: '',
    })),
    unanswered: guards.needsAllReplicas ? unanswered : 0,
    demotedLogEnd: undefined,
  });
  if (successor === undefined) {
    return;
  }
  const target = Number(successor.target);
  const {epoch} = promoter;
  const next = writeRow(state, guards, promoter, {
    epoch,
    phase: 'ordered',
    target,
  });
  yield {
    name: `promoter ${index} chooses ${target}${next ? '' : ', too late'}`,
    state:
      next === undefined
        ? withPromoter(state, index, {step: 'ended'})
        : withPromoter(next, index, {
            step: 'ordered',
            target,
            version: next.row.version,
          }),
  };
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
  if (sent < MAXIMUM_ORDERS) {
    const row = {epoch: epoch + 1, phase: 'ordered' as const, target};
    const written = sent === 0 ? state : writeRow(state, guards, promoter, row);
    const orderEpoch = sent === 0 ? epoch : epoch + 1;
    if (written !== undefined) {
      const orders = [...state.orders, {epoch: orderEpoch, target}];
      const change = {
        sent: sent + 1,
        epoch: orderEpoch,
        version: sent === 0 ? version : written.row.version,
      };
      yield {
        name: `promoter ${index} orders ${target} at ${orderEpoch}`,
        state: withPromoter({...written, orders}, index, change),
      };
    }
  }
  if (sent > 0 && state.leader === target) {
    yield* endSteps(state, guards, index, 'done');
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
  const next = writeRow(state, guards, promoter, {epoch, phase, target});
  if (next !== undefined) {
    yield {
      name: `promoter ${index} ends: ${phase}`,
      state: withPromoter(next, index, {
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

function* promotionSteps(
  state: ModelState,
  guards: Guards,
): Generator<ModelStep> {
  for (const order of state.orders) {
    const orders = state.orders.filter(other => other !== order);
    const next = at(state.targets, order.target);
    const isFenced = guards.checksEpochs && order.epoch < state.fence;
    if (isFenced || !next.isRunning) {
      continue;
    }
    const fence = Math.max(state.fence, order.epoch);
    const name = `the platform promotes ${order.target} at ${order.epoch}`;
    if (order.target === state.leader) {
      yield {name, state: {...state, orders, fence}};
      continue;
    }
    const term = Math.max(...state.targets.map(target => target.term)) + 1;
    const targets = state.targets.map((target, index) =>
      index === order.target
        ? {...target, term, pausedAt: 0}
        : {...target, term, pausedAt: 0, log: next.log},
    );
    const leader = order.target;
    yield {name, state: {...state, orders, fence, targets, leader}};
  }
}

function* stepsFrom(state: ModelState, guards: Guards): Generator<ModelStep> {
  yield* commitSteps(state);
  yield* crashSteps(state);
  yield* restoreSteps(state, guards);
  for (const index of PROMOTERS) {
    yield* startSteps(state, guards, index);
    yield* stopSteps(state, guards, index);
    yield* chooseSteps(state, guards, index);
    yield* orderSteps(state, guards, index);
    yield* abandonSteps(state, guards, index);
    yield* resumeSteps(state, guards, index);
  }
  yield* promotionSteps(state, guards);
}

/** True if the primary holds every acknowledged commit. */
function isSafe({targets, leader, acknowledged}: ModelState): boolean {
  const {log} = at(targets, leader);
  return acknowledged.every(commit => log.includes(commit));
}

/** Searches all reachable states breadth-first. */
export function searchSuccession(guards: Guards): SearchResult {
  const seen = new Set([JSON.stringify(INITIAL_STATE)]);
  let frontier: Array<{state: ModelState; path: readonly string[]}> = [
    {state: INITIAL_STATE, path: []},
  ];
  while (frontier.length > 0) {
    const next: typeof frontier = [];
    for (const {state, path} of frontier) {
      for (const step of stepsFrom(state, guards)) {
        const key = JSON.stringify(step.state);
        if (seen.has(key)) {
          continue;
        }
        seen.add(key);
        const steps = [...path, step.name];
        if (!isSafe(step.state)) {
          return {states: seen.size, counterexample: steps};
        }
        next.push({state: step.state, path: steps});
      }
    }
    frontier = next;
  }
  return {states: seen.size, counterexample: undefined};
}
