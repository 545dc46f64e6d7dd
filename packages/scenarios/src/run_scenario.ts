/** Runs a scenario with a seed and checks what must hold. */
import type {LineWriter} from '@kelpstep/observability';
import type {ProxyContext} from '@kelpstep/proxy';
import {Milliseconds, Task, waitFor} from '@kelpstep/runtime';

import {ReachableProxy, callProxy} from './caller_link';
import {Cluster, createCluster} from './cluster';
import {DEPLOYMENTS} from './deployments';
import {History, Operation, createHistory, sessionList} from './history';
import {Violation, checkInvariants, readRecords} from './invariants';
import {Measurements, measure} from './measurements';
import {createActionRunner} from './scenario_actions';
import type {
  Expectation,
  Scenario,
  ScenarioSettings,
} from './scenario_language';
import {runSession} from './session_load';

/** What a run showed. */
export interface ScenarioReport {
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Expectations that were not met, in words. */
  readonly unmet: readonly string[];
  readonly measurements: Measurements;
  readonly operations: readonly Operation[];
}

/** What a run may be given besides its scenario and seed. */
export interface RunOptions {
  readonly overrides?: Pick<ProxyContext, 'policies' | 'timings'>;
  readonly writeLog?: LineWriter;
}

type CompleteSettings = Required<Omit<ScenarioSettings, 'seeds'>>;

const DEFAULT_SETTINGS: CompleteSettings = {
  deployment: 'office',
  proxies: 3,
  groups: 1,
  sessions: 6,
  period: 60,
  reads: 50,
  age: 2000,
  lag: 20,
  deadline: 1500,
  end: 4500,
};

/** Age that reads accept if they state none. */
const READ_STALENESS: Milliseconds = 1000;
/** How long everything has at most, once all faults ended, to come to rest. */
const REST: Milliseconds = 4000;
const REST_STEP: Milliseconds = 100;
const SETTLE_DEADLINE: Milliseconds = 3000;
const SETTLE_ATTEMPTS = 5;
/** An answer may take this much longer than its deadline. */
const ANSWER_GRACE: Milliseconds = 600;

/** Runs a scenario once. */
export function runScenario(
  scenario: Scenario,
  seed: number,
  options: RunOptions = {},
): ScenarioReport {
  const settings = {...DEFAULT_SETTINGS, ...scenario.settings};
  const cluster = createCluster({
    deployment: DEPLOYMENTS[settings.deployment],
    seed,
    proxies: settings.proxies,
    groups: settings.groups,
    lag: settings.lag,
    readStaleness: READ_STALENESS,
    ...options,
  });
  if (!cluster.bootstrap()) {
    throw new Error(`seed ${seed}: the cluster did not come up`);
  }
  const startedAt = cluster.timer.now();
  const history = createHistory();
  startSessions(cluster, settings, history);
  const actions = createActionRunner(cluster);
  for (const action of scenario.actions) {
    cluster.timer.after(action.at, () => actions.run(action));
  }
  cluster.timer.advance(settings.end);
  actions.recover();
  rest(cluster, history, settings.deadline);
  settleUnknown(cluster, history);

  const measurements = measure({
    cluster,
    operations: history.operations,
    startedAt,
    faultAt: startedAt + (scenario.actions[0]?.at ?? 0),
    lastActionAt: startedAt + (scenario.actions.at(-1)?.at ?? 0),
    endedAt: startedAt + settings.end,
  });
  return {
    seed,
    violations: checkInvariants({
      operations: history.operations,
      finalRecords: (session, group) => finalRecords(cluster, session, group),
      answerGrace: ANSWER_GRACE,
    }),
    unmet: scenario.expectations.flatMap(expectation =>
      judge(expectation, measurements),
    ),
    measurements,
    operations: history.operations,
  };
}

function startSessions(
  cluster: Cluster,
  settings: CompleteSettings,
  history: History,
): void {
  const {timer, random, runtime, deployment, groups} = cluster;
  const names = Array.from(
    {length: settings.sessions},
    (unusedItem, index) => `s${index + 1}`,
  );
  for (const [index, name] of names.entries()) {
    const group = groups[index % groups.length] ?? '';
    runtime.spawn(
      name,
      runSession({
        name,
        timer,
        random: random.split(),
        history,
        group,
        latency: deployment.callerLatency,
        period: settings.period,
        reads: settings.reads,
        age: settings.age,
        deadline: settings.deadline,
        end: timer.now() + settings.end,
        sessions: names.filter(
          (unusedName, other) =>
            other % groups.length === index % groups.length,
        ),
        proxies: () => reachable(cluster),
      }),
    );
  }
}

/**
 * Lets everything come to rest. No request outlives the load by more than its
 * deadline, so what could still arrive late has arrived by then.
 */
function rest(
  {timer, groups, targets}: Cluster,
  {operations}: History,
  deadline: Milliseconds,
): void {
  const limit = timer.now() + Math.max(REST, deadline);
  timer.advance(deadline);
  const isAtRest = () =>
    groups.every(group => targets.isConverged(group)) &&
    operations.every(({completedAt}) => completedAt !== undefined);
  while (timer.now() < limit && !isAtRest()) {
    timer.advance(REST_STEP);
  }
}

/** What the balancer offers, or any that runs if it offers none. */
function reachable({proxies}: Cluster): readonly ReachableProxy[] {
  const offered = proxies.offered();
  return offered.length > 0 ? offered : proxies.running();
}

/** Asks for the outcome of what is still unknown, as a caller would. */
function settleUnknown(cluster: Cluster, history: History): void {
  const open = history.operations.filter(
    ({outcome, key}) => outcome === 'unknown' && key !== undefined,
  );
  const tasks = open.map(
    operation =>
      cluster.runtime.spawn('settle', settleOne(cluster, operation)).result,
  );
  cluster.timer.runUntil(
    () => tasks.every(task => task.isSettled()),
    SETTLE_ATTEMPTS * SETTLE_DEADLINE,
  );
}

function* settleOne(cluster: Cluster, operation: Operation): Task<void> {
  const {timer, deployment, random} = cluster;
  for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
    const reply = yield* waitFor(
      callProxy(
        timer,
        deployment.callerLatency,
        random.pick(reachable(cluster)),
        'outcome',
        {
          group: operation.group,
          key: operation.key,
          deadline: timer.wallClock() + SETTLE_DEADLINE,
        },
      ),
    );
    if (reply !== 'lost' && reply.ok) {
      const {outcome} = reply.val as {outcome: 'confirmed' | 'not_run'};
      operation.outcome = outcome;
      return;
    }
  }
}

function finalRecords(
  {targets}: Cluster,
  session: string,
  group: string,
): string[] {
  const rows = targets.newest(group)?.database.control.inspect({
    text: 'list ?',
    parameters: [sessionList(session)],
  });
  return readRecords(rows ?? []);
}

function judge(
  {name, value, line}: Expectation,
  measurements: Measurements,
): string[] {
  const {writeGap, primaryChanges, replicaShare, confirmedShare, refusalTime} =
    measurements;
  const found = {
    'write-gap': writeGap,
    'primary-changes': primaryChanges,
    'replica-share': replicaShare,
    'confirmed-share': confirmedShare,
    'refusal-time': refusalTime,
  }[name];
  const holds = {
    'write-gap': writeGap <= value,
    'primary-changes': primaryChanges === value,
    'replica-share': replicaShare >= value,
    'confirmed-share': confirmedShare >= value,
    'refusal-time': refusalTime <= value,
  }[name];
  return holds ? [] : [`line ${line}: ${name} ${value}, found ${found}`];
}
