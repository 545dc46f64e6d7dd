/** Runs a deployment under load with a fault, once per policy and seed. */
import {
  DEPLOYMENTS,
  DeploymentName,
  createActionRunner,
  createCluster,
} from '@kelpstep/scenarios';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Row} from '../report';
import {FaultFigures, takeFigures} from './fault_figures';
import {FaultName, NAMED_FAULTS} from './named_faults';
import {NAMED_POLICIES, PolicyName} from './named_policies';
import {startOpenLoad} from './open_load';
import {meanSlotTime} from './request_mix';

/** What is run. */
export interface RunSettings {
  readonly deployment: DeploymentName;
  readonly fault: FaultName;
  /** Load in multiples of what all slots of the group carry. */
  readonly load: number;
  readonly proxies: number;
  /** Time that a statement keeps its slot at least. */
  readonly serviceTime: Milliseconds;
  /** Time before and after the fault that counts. */
  readonly span: Milliseconds;
}

const WARM_UP: Milliseconds = 3000;
/** For requests that arrived last. */
const REST: Milliseconds = 4000;
const LAG: Milliseconds = 20;
const READ_STALENESS: Milliseconds = 1000;

/** Runs one policy with one seed in virtual time. */
export function runPolicy(
  settings: RunSettings,
  policy: PolicyName,
  seed: number,
): FaultFigures {
  const {span, serviceTime} = settings;
  const deployment = {...DEPLOYMENTS[settings.deployment], serviceTime};
  const cluster = createCluster({
    deployment,
    seed,
    proxies: settings.proxies,
    groups: 1,
    lag: LAG,
    readStaleness: READ_STALENESS,
    overrides: {policies: NAMED_POLICIES[policy]},
  });
  if (!cluster.bootstrap()) {
    throw new Error(`seed ${seed}: the cluster did not come up`);
  }
  const {timer, groups} = cluster;
  const slots = deployment.slots * deployment.dataCentres.length;
  const faultAt = timer.now() + WARM_UP + span;
  const requests = startOpenLoad({
    cluster,
    group: groups[0] ?? '',
    rate: (settings.load * slots) / meanSlotTime(serviceTime),
    endsAt: faultAt + span,
  });
  timer.advance(WARM_UP + span);
  NAMED_FAULTS[settings.fault](cluster, createActionRunner(cluster));
  timer.advance(span + REST);
  return takeFigures({requests, faultAt, span});
}

function median(sorted: readonly number[]): number {
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1
    ? upper
    : ((sorted[middle - 1] ?? 0) + upper) / 2;
}

/** Minimum, median and maximum of each figure, as three rows. */
export function summarize(
  labels: Row,
  runs: readonly FaultFigures[],
): readonly Row[] {
  const names = Object.keys(runs[0] ?? {}) as Array<keyof FaultFigures>;
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
