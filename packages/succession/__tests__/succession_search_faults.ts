/** Faults of targets, proxies, the network and the store, and their ends. */
import {at} from './succession_model_choice';
import {replaced} from './succession_model_promoter';
import type {SearchStep} from './succession_search_writes';
import {
  type LogLoss,
  MAXIMUM_RESTORES,
  TARGETS,
} from './succession_model_state';
import {
  ENDED_PROMOTER,
  type FaultKind,
  type FaultMix,
  type SearchGuards,
  INITIAL_ROW,
  type SearchState,
  type SearchTarget,
} from './succession_search_state';

function withTarget(
  state: SearchState,
  index: number,
  change: Partial<SearchTarget>,
): SearchState {
  const target = {...at(state.targets, index), ...change};
  return {...state, targets: replaced(state.targets, index, target)};
}

/** The target's process ends, and with it what the platform told it to do. */
function withoutExecuted(state: SearchState, index: number): SearchState {
  const orders = state.orders.filter(
    ({target, isExecuted}) => target !== index || !isExecuted,
  );
  return {...state, orders};
}

/** The target is another one from now on; earlier answers don't count. */
function withNewStart(
  state: SearchState,
  index: number,
  change: Partial<SearchTarget>,
): SearchState {
  const {isRecorded} = at(state.targets, index);
  const isReplica = index !== state.leader;
  const isBroken = state.record.isBroken || (isRecorded && isReplica);
  const changed = withTarget(withoutExecuted(state, index), index, {
    ...change,
    pausedAt: 0,
    isRecorded: false,
  });
  return {
    ...changed,
    record: {...state.record, isBroken},
    promoters: state.promoters.map(promoter => ({
      ...promoter,
      answers: replaced(promoter.answers, index, -1),
      ...(promoter.from === index
        ? {primaryEnd: -1, foundEnd: -1, sawStopped: false}
        : {}),
    })),
  };
}

/** True if a new target may take the place of one that is gone. */
function isFree(state: SearchState, index: number): boolean {
  const {isRunning, isListed} = at(state.targets, index);
  return (
    !isRunning &&
    !isListed &&
    state.row.target !== index &&
    state.orders.every(({target}) => target !== index) &&
    state.promoters.every(
      ({from, target}) => from !== index && target !== index,
    )
  );
}

function mayLoseLog(
  {orders, fence}: SearchState,
  index: number,
  logLoss: LogLoss,
): boolean {
  const isOrdered = orders.some(
    ({target, isExecuted, epoch}) =>
      target === index && (isExecuted || epoch >= fence),
  );
  return logLoss === 'always' || !isOrdered;
}

function* memberFaults(
  state: SearchState,
  logLoss: LogLoss,
): Generator<SearchStep & {readonly kind: FaultKind}> {
  for (const replica of TARGETS) {
    const target = at(state.targets, replica);
    if (replica === state.leader) {
      continue;
    }
    if (isFree(state, replica)) {
      const {term} = at(state.targets, state.leader);
      const joined = {isRunning: true, log: [], term};
      yield {
        kind: 'targetJoins',
        name: `${replica} joins`,
        state: withNewStart(state, replica, joined),
      };
    }
    if (!target.isRunning) {
      continue;
    }
    if (target.pausedAt > target.term) {
      const restarted = withTarget(state, replica, {pausedAt: 0});
      yield {
        kind: 'replicaRestarts',
        name: `replica ${replica} restarts`,
        state: withoutExecuted(restarted, replica),
      };
    }
    if (target.isListed) {
      yield {
        kind: 'registrationLapses',
        name: `the registration of ${replica} lapses`,
        state: {
          ...withTarget(state, replica, {isListed: false}),
          mayLackCopies: true,
        },
      };
    }
    const gone = {isListed: false, isRunning: false, log: []};
    yield {
      kind: 'replicaLeaves',
      name: `${replica} leaves with its log`,
      state: {
        ...withNewStart(state, replica, gone),
        mayLackCopies: state.mayLackCopies || target.isListed,
      },
    };
    if (
      mayLoseLog(state, replica, logLoss) &&
      target.log.length > 0 &&
      target.isListed
    ) {
      yield {
        kind: 'replicaReturnsEmpty',
        name: `${replica} returns empty`,
        state: {
          ...withNewStart(state, replica, {log: []}),
          mayLackCopies: true,
        },
      };
    }
  }
}

function* primaryFaults(
  state: SearchState,
  logLoss: LogLoss,
): Generator<SearchStep & {readonly kind: FaultKind}> {
  const leader = at(state.targets, state.leader);
  if (leader.isRunning) {
    const crashed = withTarget(state, state.leader, {isRunning: false});
    yield {
      kind: 'primaryCrashes',
      name: `primary ${state.leader} crashes`,
      state: withoutExecuted(crashed, state.leader),
    };
  }
  const mayReturnEmpty = mayLoseLog(state, state.leader, logLoss);
  if (mayReturnEmpty && leader.isListed && leader.log.length > 0) {
    const returned = withNewStart(state, state.leader, {
      isRunning: true,
      log: [],
    });
    yield {
      kind: 'primaryReturnsEmpty',
      name: `primary ${state.leader} returns empty, as a replica`,
      state: {...returned, isDemoted: true},
    };
  }
  if (leader.isListed) {
    const gone = {isRunning: false, isListed: false};
    const removed = withTarget(state, state.leader, gone);
    yield {
      kind: 'primaryIsRemoved',
      name: `primary ${state.leader} is removed`,
      state: withoutExecuted(removed, state.leader),
    };
  }
  if (!state.isCut) {
    yield {
      kind: 'primaryIsCut',
      name: 'promoters lose the primary',
      state: {...state, isCut: true},
    };
  }
}

function* proxyFaults(
  state: SearchState,
): Generator<SearchStep & {readonly kind: FaultKind}> {
  if (!state.hasUninformed) {
    yield {
      kind: 'rowIsUnknown',
      name: 'some proxies lose the row',
      state: {...state, hasUninformed: true},
    };
  }
  if (state.knownCommits > 0 || !state.hasStarted) {
    yield {
      kind: 'proxyRestarts',
      name: 'the proxy with the newest commit restarts',
      state: {...state, knownCommits: 0, hasStarted: true},
    };
  }
  yield {
    kind: 'allProxiesRestart',
    name: 'all proxies restart',
    state: {
      ...state,
      knownCommits: 0,
      mayLackCopies: false,
      hasStarted: true,
      hasUninformed: false,
      promoters: state.promoters.map(promoter =>
        promoter.step === 'idle' ? promoter : ENDED_PROMOTER,
      ),
    },
  };
}

/** The store returns from a copy without the row. */
function* storeFaults(
  state: SearchState,
  guards: SearchGuards,
): Generator<SearchStep & {readonly kind: FaultKind}> {
  if (state.era < MAXIMUM_RESTORES) {
    yield {
      kind: 'storeIsRestored',
      name: 'the store is restored',
      state: {
        ...state,
        era: state.era + 1,
        row: guards.remembersLostRows ? state.row : INITIAL_ROW,
        promoters: state.promoters.map(promoter => ({
          ...promoter,
          holdsRow: false,
        })),
      },
    };
  }
}

/** The faults that a mix allows. */
export function* faultSteps(
  state: SearchState,
  guards: SearchGuards,
  logLoss: LogLoss,
  {kinds, maximum}: FaultMix,
): Generator<SearchStep> {
  if (state.faults >= maximum) {
    return;
  }
  const groups = [
    memberFaults(state, logLoss),
    primaryFaults(state, logLoss),
    proxyFaults(state),
    storeFaults(state, guards),
  ];
  for (const group of groups) {
    for (const {kind, name, state: after} of group) {
      if (kinds.includes(kind)) {
        yield {name, state: {...after, faults: state.faults + 1}};
      }
    }
  }
}

/** Faults end: targets return, are listed and receive; the network heals. */
export function* recoverySteps(state: SearchState): Generator<SearchStep> {
  const leader = at(state.targets, state.leader);
  if (state.isCut) {
    yield {name: 'the cut heals', state: {...state, isCut: false}};
  }
  for (const index of TARGETS) {
    const target = at(state.targets, index);
    if (!target.isRunning && target.isListed) {
      const returned = withTarget(state, index, {isRunning: true, pausedAt: 0});
      const isPrimary = index === state.leader;
      yield {
        name: `${index} returns`,
        state: isPrimary ? {...returned, isDemoted: false} : returned,
      };
    }
    if (target.isRunning && !target.isListed) {
      yield {
        name: `${index} is listed`,
        state: withTarget(state, index, {isListed: true}),
      };
    }
  }
  if (!leader.isRunning || state.isDemoted) {
    return;
  }
  for (const index of TARGETS) {
    const target = at(state.targets, index);
    const isReplica = target.isRunning && index !== state.leader;
    if (!isReplica || target.term !== leader.term) {
      continue;
    }
    if (target.log.length < leader.log.length) {
      if (target.pausedAt <= target.term) {
        yield {
          name: `${index} catches up`,
          state: withTarget(state, index, {log: leader.log}),
        };
      }
    } else if (target.isListed) {
      const isNew =
        state.mayLackCopies ||
        state.hasStarted ||
        state.record.isBroken ||
        state.record.term < leader.term ||
        state.targets.some(({isListed, isRecorded}) => isListed !== isRecorded);
      if (isNew) {
        yield {
          name: `${index} is seen with all of the primary's log`,
          state: {
            ...state,
            mayLackCopies: false,
            hasStarted: false,
            record: {term: leader.term, isBroken: false},
            targets: state.targets.map(other => ({
              ...other,
              isRecorded: other.isListed,
            })),
          },
        };
      }
    }
  }
}
