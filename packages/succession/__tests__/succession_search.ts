/**
 * Exhaustive search of a change of primary with faults that end: crashed targets
 * return, cuts heal, targets join and are listed later, replicas are rolled back
 * to a new primary's log and catch up, proxies restart. A search of all faults
 * together does not end, so each has a mix of a few.
 */
import {createSearchStateSet} from './search_state_set';
import {at} from './succession_model_choice';
import {isPrefix, replaced} from './succession_model_promoter';
import {type LogLoss, PROMOTERS, TARGETS} from './succession_model_state';
import {isServable} from './succession_search_choice';
import {faultSteps, recoverySteps} from './succession_search_faults';
import {promoterSteps} from './succession_search_promoter';
import {
  type FaultMix,
  INITIAL_STATE,
  type SearchGuards,
  type SearchState,
} from './succession_search_state';
import type {SearchStep} from './succession_search_writes';

export interface SearchResult {
  readonly states: number;
  /** Shortest sequence of steps that loses a commit; undefined if none does. */
  readonly counterexample: readonly string[] | undefined;
}

/**
 * What a search looks for besides lost commits. `service`: states in which no
 * target can be selected although one holds every acknowledged commit.
 */
export type SearchAim = 'commits' | 'service';

/** A commit at the primary, received by one replica or by none. */
function* commitSteps(
  state: SearchState,
  guards: SearchGuards,
  mix: FaultMix,
): Generator<SearchStep> {
  const leader = at(state.targets, state.leader);
  const isLeading = leader.isRunning && !state.isDemoted;
  if (!isLeading || state.commits >= mix.commits) {
    return;
  }
  const {row} = state;
  const isSuperseded = row.phase === 'ordered' && row.target !== state.leader;
  const isContested = guards.withholdsWhileContested && row.isContested;
  const isWithheld =
    guards.withholdsSuccess &&
    !state.hasUninformed &&
    (isSuperseded || isContested);
  const commit = state.commits;
  const log = [...leader.log, commit];
  const commits = state.commits + 1;
  const written = replaced(state.targets, state.leader, {...leader, log});
  yield {
    name: `commit ${commit} unsent`,
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
      const name = `commit ${commit} received by ${replica}`;
      const change = {acknowledged, knownCommits, mayLackCopies};
      yield {name, state: {...state, targets, commits, ...change}};
    }
  }
}

/**
 * The platform executes an order, which checks its epoch, and the promotion
 * takes effect at any later time, after those executed before it.
 */
function* promotionSteps(
  state: SearchState,
  guards: SearchGuards,
): Generator<SearchStep> {
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

/** Rolls replicas back; they receive the rest of the log later. */
function promote(state: SearchState, leader: number): SearchState {
  const {log} = at(state.targets, leader);
  const term = Math.max(...state.targets.map(target => target.term)) + 1;
  const targets = state.targets.map((target, index) => ({
    ...target,
    term,
    pausedAt: 0,
    log:
      index === leader
        ? log
        : target.log.filter((commit, at) => log[at] === commit),
  }));
  return {
    ...state,
    targets,
    leader,
    isDemoted: false,
    isCut: false,
    mayLackCopies: true,
    // Known commits are compared in the term in which they were acknowledged.
    knownCommits: 0,
  };
}

function* stepsFrom(
  state: SearchState,
  guards: SearchGuards,
  logLoss: LogLoss,
  mix: FaultMix,
): Generator<SearchStep> {
  yield* commitSteps(state, guards, mix);
  yield* faultSteps(state, guards, logLoss, mix);
  yield* recoverySteps(state);
  for (const index of PROMOTERS) {
    yield* promoterSteps(state, guards, mix, index);
  }
  yield* promotionSteps(state, guards);
}

/**
 * True if the primary holds every acknowledged commit. One that was demoted may
 * return without its log while another target still holds them.
 */
function isSafe(state: SearchState): boolean {
  const {targets, leader, isDemoted, acknowledged} = state;
  const {log} = at(targets, leader);
  return isDemoted || acknowledged.every(commit => log.includes(commit));
}

function initialState({targets: count}: FaultMix): SearchState {
  const targets = INITIAL_STATE.targets.map((target, index) =>
    index < count
      ? target
      : {...target, isRunning: false, isListed: false, isRecorded: false},
  );
  return {...INITIAL_STATE, targets};
}

/** Where each state was first reached from, to name the steps to one of them. */
interface Origins {
  readonly parents: number[];
  readonly steps: number[];
}

/** Takes the steps to a state again, to name them. */
function namesOfSteps(
  {parents, steps}: Origins,
  last: number,
  initial: SearchState,
  stepsOf: (state: SearchState) => Iterable<SearchStep>,
): string[] {
  const taken: number[] = [];
  for (let index = last; index > 0; index = at(parents, index)) {
    taken.unshift(at(steps, index));
  }
  let state = initial;
  return taken.map(step => {
    const next = at([...stepsOf(state)], step);
    state = next.state;
    return next.name;
  });
}

/** Searches the reachable states of a mix breadth-first. */
export function searchSuccession(
  guards: SearchGuards,
  mix: FaultMix,
  logLoss: LogLoss = 'unlessOrdered',
  aim: SearchAim = 'commits',
): SearchResult {
  const seen = createSearchStateSet();
  const initial = initialState(mix);
  const origins: Origins = {parents: [0], steps: [0]};
  const stepsOf = (state: SearchState) =>
    stepsFrom(state, guards, logLoss, mix);
  seen.add(initial);
  let frontier = [initial];
  while (frontier.length > 0) {
    const next: SearchState[] = [];
    let parent = seen.size() - frontier.length;
    for (const state of frontier) {
      let step = 0;
      for (const {state: after} of stepsOf(state)) {
        if (seen.add(after)) {
          origins.parents.push(parent);
          origins.steps.push(step);
          next.push(after);
          const isServed = aim === 'commits' || isServable(after, guards);
          if (!isSafe(after) || !isServed) {
            const last = seen.size() - 1;
            const names = namesOfSteps(origins, last, initial, stepsOf);
            return {states: seen.size(), counterexample: names};
          }
        }
        step += 1;
      }
      parent += 1;
    }
    frontier = next;
  }
  return {states: seen.size(), counterexample: undefined};
}
