/**
 * Model of a change of primary for an exhaustive state search: three targets,
 * two promoters (proxies that change the primary), messages that are lost or
 * delayed, and faults.
 */
import {createHash} from 'node:crypto';

import {
  type ModelStep,
  isPrefix,
  promoterSteps,
  replaced,
} from './succession_model_promoter';
import {at} from './succession_model_choice';
import {
  type Guards,
  INITIAL_ROW,
  INITIAL_STATE,
  type LogLoss,
  MAXIMUM_COMMITS,
  MAXIMUM_FAULTS,
  MAXIMUM_RESTORES,
  type ModelState,
  PROMOTERS,
  TARGETS,
} from './succession_model_state';

export interface SearchResult {
  readonly states: number;
  /** Shortest sequence of steps that loses a commit; undefined if none does. */
  readonly counterexample: readonly string[] | undefined;
}

/** A commit at the primary, received by one replica or by none. */
function* commitSteps(state: ModelState, guards: Guards): Generator<ModelStep> {
  const leader = at(state.targets, state.leader);
  const isLeading = leader.isRunning && !state.isDemoted;
  if (!isLeading || state.commits >= MAXIMUM_COMMITS) {
    return;
  }
  const {row} = state;
  const isSuperseded = row.phase === 'ordered' && row.target !== state.leader;
  const isWithheld =
    guards.withholdsSuccess && !state.hasUninformed && isSuperseded;
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
      const acknowledged = isWithheld
        ? state.acknowledged
        : [...state.acknowledged, commit];
      // A replica that is not listed shows in what proxies were answered only.
      const knownCommits = target.isListed ? state.knownCommits : log.length;
      const mayLackCopies = state.mayLackCopies && !target.isListed;
      const name = `${commit} received by ${replica}`;
      const change = {acknowledged, knownCommits, mayLackCopies};
      yield {name, state: {...state, targets, commits, ...change}};
    }
  }
}

/**
 * A replica is not listed yet, has left, or has lost its log. The primary has
 * the only copy of a commit then, so it stays.
 */
function* memberSteps(
  state: ModelState,
  logLoss: LogLoss,
): Generator<ModelStep> {
  const faults = state.faults + 1;
  const hasPrimary = at(state.targets, state.leader).isRunning && !state.isCut;
  for (const replica of TARGETS) {
    const target = at(state.targets, replica);
    const isPresent = target.isRunning && target.isListed;
    if (replica === state.leader || !isPresent || !hasPrimary) {
      continue;
    }
    const after = (change: Partial<typeof target>) => ({
      ...state,
      targets: replaced(state.targets, replica, {...target, ...change}),
      promoters: state.promoters.map(promoter => ({
        ...promoter,
        answers: replaced(promoter.answers, replica, -1),
      })),
      faults,
    });
    const isNew = state.promoters.every(({starts}) => starts === 0);
    if (isNew && state.commits === 0) {
      const name = `${replica} is not listed`;
      yield {name, state: after({isListed: false})};
    }
    if (state.commits > 0) {
      const gone = {isListed: false, isRunning: false, pausedAt: 0};
      const left = {...after(gone), mayLackCopies: true};
      yield {name: `${replica} leaves with its log`, state: left};
    }
    const isOrdered = state.orders.some(
      order =>
        order.target === replica &&
        (order.isExecuted || order.epoch >= state.fence),
    );
    const mayLoseLog = logLoss === 'always' || !isOrdered;
    if (mayLoseLog && target.log.length > 0) {
      const empty = {...after({log: [], pausedAt: 0}), mayLackCopies: true};
      yield {name: `${replica} returns empty`, state: empty};
    }
  }
}

function* faultSteps(
  state: ModelState,
  logLoss: LogLoss,
): Generator<ModelStep> {
  const faults = state.faults + 1;
  if (faults > MAXIMUM_FAULTS) {
    return;
  }
  yield* memberSteps(state, logLoss);
  const leader = at(state.targets, state.leader);
  if (leader.isRunning && !state.mayLackCopies) {
    const stopped = {...leader, isRunning: false};
    const targets = replaced(state.targets, state.leader, stopped);
    yield {name: 'primary crashes', state: {...state, targets, faults}};
  }
  if (!state.isCut && !state.mayLackCopies) {
    const name = 'promoters lose the primary';
    yield {name, state: {...state, isCut: true, faults}};
  }
  if (!state.hasUninformed) {
    const name = 'some proxies lose the row';
    yield {name, state: {...state, hasUninformed: true, faults}};
  }
  for (const replica of TARGETS) {
    const target = at(state.targets, replica);
    if (target.pausedAt > target.term) {
      const targets = replaced(state.targets, replica, {
        ...target,
        pausedAt: 0,
      });
      const name = `replica ${replica} restarts`;
      yield {name, state: {...state, targets, faults}};
    }
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
  if (state.era < MAXIMUM_RESTORES && state.faults < MAXIMUM_FAULTS) {
    const row = guards.remembersLostRows
      ? {...state.row, version: INITIAL_ROW.version}
      : INITIAL_ROW;
    yield {
      name: 'the store is restored',
      state: {...state, era: state.era + 1, row, faults: state.faults + 1},
    };
  }
}

/**
 * The platform executes an order, which checks its epoch, and the promotion
 * takes effect at any later time, after those executed before it.
 */
function* promotionSteps(
  state: ModelState,
  guards: Guards,
): Generator<ModelStep> {
  for (const order of state.orders) {
    const others = state.orders.filter(other => other !== order);
    const {epoch, target} = order;
    const next = at(state.targets, target);
    const isPresent = target === state.leader && !state.isDemoted;
    const isFenced = guards.checksEpochs && epoch < state.fence;
    if (!next.isRunning) {
      continue;
    }
    if (!order.isExecuted && !isFenced) {
      const orders = isPresent
        ? others
        : [...others, {...order, isExecuted: true}];
      const fence = Math.max(state.fence, epoch);
      const name = `the platform executes ${target} at ${epoch}`;
      yield {name, state: {...state, orders, fence}};
    }
    const isNext = !others.some(
      other => other.isExecuted && other.epoch < epoch,
    );
    if (order.isExecuted && isNext) {
      const name = `${target} is promoted at ${epoch}`;
      const after = isPresent ? state : promote(state, target);
      yield {name, state: {...after, orders: others}};
    }
  }
}

function promote(state: ModelState, leader: number): ModelState {
  const {log} = at(state.targets, leader);
  const term = Math.max(...state.targets.map(target => target.term)) + 1;
  const targets = state.targets.map((target, index) =>
    index === leader
      ? {...target, term, pausedAt: 0}
      : {...target, term, pausedAt: 0, log},
  );
  return {...state, targets, leader, isDemoted: false, isCut: false};
}

function* stepsFrom(
  state: ModelState,
  guards: Guards,
  logLoss: LogLoss,
): Generator<ModelStep> {
  yield* commitSteps(state, guards);
  yield* faultSteps(state, logLoss);
  yield* restoreSteps(state, guards);
  for (const index of PROMOTERS) {
    yield* promoterSteps(state, guards, index);
  }
  yield* promotionSteps(state, guards);
}

/** True if the primary holds every acknowledged commit. */
function isSafe({targets, leader, acknowledged}: ModelState): boolean {
  const {log} = at(targets, leader);
  return acknowledged.every(commit => log.includes(commit));
}

/** A short key of a state; millions of whole states would not fit into memory. */
function keyOf(state: ModelState): string {
  return createHash('md5').update(JSON.stringify(state)).digest('base64');
}

/** Searches all reachable states breadth-first. */
export function searchSuccession(
  guards: Guards,
  logLoss: LogLoss = 'unlessOrdered',
): SearchResult {
  const seen = new Set([keyOf(INITIAL_STATE)]);
  let frontier: Array<{state: ModelState; path: readonly string[]}> = [
    {state: INITIAL_STATE, path: []},
  ];
  while (frontier.length > 0) {
    const next: typeof frontier = [];
    for (const {state, path} of frontier) {
      for (const step of stepsFrom(state, guards, logLoss)) {
        const key = keyOf(step.state);
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
