/** Measures failover and planned changes of a deployment in real processes. */
import {
  DEPLOYMENTS,
  DeploymentName,
  createProcessTable,
  startProcessCluster,
} from '@kelpstep/scenarios';

import {startNaiveGroup} from './naive_failover';
import {measurePlannedChanges} from './planned_changes';
import {measurePrimaryFailures} from './primary_failures';
import {SampleSet} from './sample_summary';

const PROXY_COUNT = 8;
const GAP_GOAL = {median: 1500, maximum: 3000};
const SWITCH_OVER_GOAL = {maximum: 100};
const IN_FORCE_GOAL = {maximum: 1000};

/** Deployment and number of runs of a failover measurement. */
export interface FailoverMeasurementOptions {
  readonly deployment: DeploymentName;
  /** Number of failures and planned changes of each kind. */
  readonly runs: number;
  /** Receives the name of each step when it starts. */
  readonly onStep: (step: string) => void;
}

/** Runs all measurements; latency between data centres is not simulated. */
export async function measureFailover({
  deployment,
  runs,
  onStep,
}: FailoverMeasurementOptions): Promise<SampleSet[]> {
  const {slots, connectionLimit, connectionSetup, serviceTime} =
    DEPLOYMENTS[deployment];
  const databaseOptions = [
    ...['--connection-setup', String(connectionSetup)],
    ...['--service-time', String(serviceTime)],
  ];
  const processes = createProcessTable();
  try {
    onStep('starting');
    const proxies = Array.from(
      {length: PROXY_COUNT},
      (unused, index) => `proxy-${index + 1}`,
    );
    const cluster = await startProcessCluster(processes, {
      proxies,
      slots,
      connectionLimit,
      databaseOptions,
    });
    const naive = await startNaiveGroup(processes, databaseOptions);
    const goal = GAP_GOAL;

    onStep('planned changes');
    const planned = await measurePlannedChanges(cluster, runs);
    onStep('kill');
    const [kill, naiveKill] = await Promise.all([
      measurePrimaryFailures(cluster, 'kill', runs),
      naive.measurePrimaryFailures('kill', runs),
    ]);
    onStep('freeze');
    const [freeze, naiveFreeze] = await Promise.all([
      measurePrimaryFailures(cluster, 'freeze', runs),
      naive.measurePrimaryFailures('freeze', runs),
    ]);
    await naive.stop();
    onStep('kill with a silent platform');
    cluster.platform().child.kill('SIGSTOP');
    const withoutPlatform = await measurePrimaryFailures(cluster, 'kill', runs);

    return [
      {kind: 'gap, primary killed', samples: kill, goal},
      {kind: 'gap, primary killed, naive', samples: naiveKill},
      {kind: 'gap, primary frozen', samples: freeze, goal},
      {kind: 'gap, primary frozen, naive', samples: naiveFreeze},
      {
        kind: 'gap, killed while the platform is silent',
        samples: withoutPlatform,
        goal,
      },
      {
        kind: 'planned switch-over, no write confirmed',
        samples: planned.switchOver,
        goal: SWITCH_OVER_GOAL,
      },
      {
        kind: `manifest in force on ${PROXY_COUNT} proxies`,
        samples: planned.inForce,
        goal: IN_FORCE_GOAL,
      },
      {
        // There is no goal: only reads count, and the target may have served
        // none.
        kind: 'last read of a leaving target',
        samples: planned.lastRead,
      },
    ];
  } finally {
    await processes.end();
  }
}
