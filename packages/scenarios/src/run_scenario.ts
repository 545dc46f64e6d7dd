/** Runs a scenario with a seed and checks invariants and expectations. */
import type {LineWriter} from '@kelpstep/observability';
import type {ProxyContext} from '@kelpstep/proxy';
import {Milliseconds, Task, waitFor} from '@kelpstep/runtime';

import {ReachableProxy, callProxy} from './caller_link';
import {Cluster, createCluster} from './cluster';
import {createClusterMonitor} from './cluster_monitor';
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

/** Result of a run. */
export interface ScenarioReport {
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Descriptions of the expectations that were not met. */
  readonly unmet: readonly string[];
  readonly measurements: Measurements;
  readonly operations: readonly Operation[];
}

/** Optional proxy policies, timings and log output of a run. */
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
  readers: 0,
  period: 60,
  reads: 50,
  age: 2000,
  lag: 20,
  deadline: 1500,
  end: 4500,
};

/** Default staleness bound of reads. */
const READ_STALENESS_MS: Milliseconds = 1000;
const READS_ONLY_PERCENT = 100;
/** Maximum time for the cluster to settle after all faults have ended. */
const SETTLING_LIMIT_MS: Milliseconds = 4000;
const SETTLING_STEP_MS: Milliseconds = 100;
const OUTCOME_DEADLINE_MS: Milliseconds = 3000;
const OUTCOME_ATTEMPTS = 5;
/** Time after its deadline within which a request must be answered. */
const ANSWER_GRACE_MS: Milliseconds = 600;

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
    readStaleness: READ_STALENESS_MS,
    ...options,
  });
  if (!cluster.bootstrap()) {
    throw new Error(`seed ${seed}: the cluster did not become ready`);
  }
  const startedAt = cluster.timer.now();
  const history = createHistory();
  startSessions(cluster, settings, history);
  const monitor = createClusterMonitor(cluster);
  const actions = createActionRunner(cluster, monitor);
  for (const action of scenario.actions) {
    cluster.timer.after(action.at, () => actions.run(action));
  }
  cluster.timer.advance(settings.end);
  actions.recover();
  waitUntilSettled(cluster, history, settings.deadline);
  resolveUnknownOutcomes(cluster, history);

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
    violations: [
      ...monitor.findings(history.operations),
      ...checkInvariants({
        operations: history.operations,
        finalRecords: (session, group) => finalRecords(cluster, session, group),
        answerGrace: ANSWER_GRACE_MS,
      }),
    ],
    unmet: scenario.expectations.flatMap(expectation =>
      checkExpectation(expectation, measurements),
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
    {length: settings.sessions + settings.readers},
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
        reads: index < settings.sessions ? settings.reads : READS_ONLY_PERCENT,
        age: settings.age,
        deadline: settings.deadline,
        end: timer.now() + settings.end,
        sessions: names.filter(
          (unusedName, other) =>
            other % groups.length === index % groups.length,
        ),
        proxies: () => reachableProxies(cluster),
      }),
    );
  }
}

/**
 * Waits until targets have converged and all operations are complete. No
 * request outlives the load by more than its deadline, so every late message
 * has arrived by then.
 */
function waitUntilSettled(
  {timer, groups, targets}: Cluster,
  {operations}: History,
  deadline: Milliseconds,
): void {
  const limit = timer.now() + Math.max(SETTLING_LIMIT_MS, deadline);
  timer.advance(deadline);
  const isSettled = () =>
    groups.every(group => targets.isConverged(group)) &&
    operations.every(({completedAt}) => completedAt !== undefined);
  while (timer.now() < limit && !isSettled()) {
    timer.advance(SETTLING_STEP_MS);
  }
}

/** Proxies that the balancer offers, or all running ones if there are none. */
function reachableProxies({proxies}: Cluster): readonly ReachableProxy[] {
  const offered = proxies.offered();
  return offered.length > 0 ? offered : proxies.running();
}

/** Requests unknown outcomes through proxies, as a caller would. */
function resolveUnknownOutcomes(cluster: Cluster, history: History): void {
  const unresolved = history.operations.filter(
    ({outcome, key}) => outcome === 'unknown' && key !== undefined,
  );
  const tasks = unresolved.map(
    operation =>
      cluster.runtime.spawn('settle', resolveOutcome(cluster, operation))
        .result,
  );
  cluster.timer.runUntil(
    () => tasks.every(task => task.isSettled()),
    OUTCOME_ATTEMPTS * OUTCOME_DEADLINE_MS,
  );
}

function* resolveOutcome(cluster: Cluster, operation: Operation): Task<void> {
  const {timer, deployment, random} = cluster;
  for (let attempt = 0; attempt < OUTCOME_ATTEMPTS; attempt++) {
    const reply = yield* waitFor(
      callProxy(
        timer,
        deployment.callerLatency,
        random.pick(reachableProxies(cluster)),
        'outcome',
        {
          group: operation.group,
          key: operation.key,
          deadline: timer.wallClock() + OUTCOME_DEADLINE_MS,
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

function checkExpectation(
  {name, value, line}: Expectation,
  measurements: Measurements,
): string[] {
  const {writeGap, primaryChanges, replicaShare, confirmedShare, refusalTime} =
    measurements;
  const measured = {
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
  return holds ? [] : [`line ${line}: ${name} ${value}, found ${measured}`];
}
