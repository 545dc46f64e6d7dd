/** Simulates a deployment under load with a fault, for one policy and seed. */
import {
  DEPLOYMENTS,
  DeploymentName,
  createActionRunner,
  createCluster,
} from '@kelpstep/scenarios';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Row} from '../report';
import {FaultMetrics, computeFaultMetrics} from './fault_metrics';
import {FaultName, NAMED_FAULTS} from './named_faults';
import {NAMED_POLICIES, PolicyName} from './named_policies';
import {startOpenLoopLoad} from './open_loop_load';
import {meanSlotTime} from './request_mix';

/** Settings that all policies and seeds of a comparison share. */
export interface RunSettings {
  readonly deployment: DeploymentName;
  readonly fault: FaultName;
  /** Load as a multiple of the capacity of all slots of the group. */
  readonly load: number;
  readonly proxies: number;
  /** Minimum time that a statement occupies its slot. */
  readonly serviceTime: Milliseconds;
  /** Length of the measured periods before and after the fault. */
  readonly span: Milliseconds;
}

const WARM_UP_MS: Milliseconds = 3000;
/**
 * Time after the load in which the last requests complete; it covers the
 * longest deadline.
 */
const COMPLETION_TIME_MS: Milliseconds = 4000;
const REPLICATION_LAG_MS: Milliseconds = 20;
const READ_STALENESS_MS: Milliseconds = 1000;

/** Runs one policy with one seed in virtual time; throws if bootstrap fails. */
export function runPolicy(
  settings: RunSettings,
  policy: PolicyName,
  seed: number,
): FaultMetrics {
  const {span, serviceTime} = settings;
  const deployment = {...DEPLOYMENTS[settings.deployment], serviceTime};
  const cluster = createCluster({
    deployment,
    seed,
    proxies: settings.proxies,
    groups: 1,
    lag: REPLICATION_LAG_MS,
    readStaleness: READ_STALENESS_MS,
    overrides: {policies: NAMED_POLICIES[policy]},
  });
  if (!cluster.bootstrap()) {
    throw new Error(`seed ${seed}: the simulated cluster failed to bootstrap`);
  }
  const {timer, groups} = cluster;
  const slots = deployment.slots * deployment.dataCentres.length;
  const faultAt = timer.now() + WARM_UP_MS + span;
  const requests = startOpenLoopLoad({
    cluster,
    group: groups[0] ?? '',
    rate: (settings.load * slots) / meanSlotTime(serviceTime),
    endsAt: faultAt + span,
  });
  timer.advance(WARM_UP_MS + span);
  NAMED_FAULTS[settings.fault](cluster, createActionRunner(cluster));
  timer.advance(span + COMPLETION_TIME_MS);
  return computeFaultMetrics({requests, faultAt, span});
}

function median(sorted: readonly number[]): number {
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1
    ? upper
    : ((sorted[middle - 1] ?? 0) + upper) / 2;
}

/** Returns three rows: minimum, median and maximum of each metric. */
export function summarize(
  labels: Row,
  runs: readonly FaultMetrics[],
): readonly Row[] {
  const names = Object.keys(runs[0] ?? {}) as Array<keyof FaultMetrics>;
  const sorted = names.map(
    name =>
      [
        name,
        runs.map(run => run[name]).sort((left, right) => left - right),
      ] as const,
  );
  const row = (
    of: string,
    pick: (values: readonly number[]) => number,
  ): Row => ({
    ...labels,
    of,
    ...Object.fromEntries(
      sorted.map(([name, values]) => [name, Math.round(pick(values))]),
    ),
  });
  return [
    row('minimum', values => values[0] ?? 0),
    row('median', median),
    row('maximum', values => values[values.length - 1] ?? 0),
  ];
}
