/** Simulates the processes of a run on one network in virtual time. */
import {commitManifest} from '@kelpstep/manifest';
import type {LineWriter} from '@kelpstep/observability';
import type {ProxyContext} from '@kelpstep/proxy';
import {
  Random,
  Runtime,
  VirtualTimer,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {FakeNetwork, createFakeNetwork} from '@kelpstep/stand-ins';

import {createBoundedTimer} from './bounded_timer';
import type {SentCommit} from './commit_checks';
import {
  Deployment,
  dataCentreOf,
  groupName,
  latencyBetween,
  manifestText,
} from './deployments';
import {PlatformAccess, createPlatformAccess} from './platform_access';
import {ProxyFleet, createProxyFleet} from './proxy_fleet';
import {TargetFleet, startTargetFleet} from './target_fleet';

/** Options of `createCluster`. */
export interface ClusterOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly proxies: number;
  readonly groups: number;
  /** Replication lag, milliseconds. */
  readonly lag: number;
  /** Default staleness bound of reads, milliseconds. */
  readonly readStaleness: number;
  readonly overrides?: Pick<ProxyContext, 'policies' | 'timings'>;
  readonly writeLog?: LineWriter;
}

/** Proxies, targets and the platform of a simulated run. */
export interface Cluster {
  readonly deployment: Deployment;
  readonly timer: VirtualTimer;
  readonly random: Random;
  /** Runtime for the tasks of callers and operators. */
  readonly runtime: Runtime;
  readonly network: FakeNetwork;
  readonly platform: PlatformAccess;
  readonly targets: TargetFleet;
  readonly proxies: ProxyFleet;
  readonly groups: readonly string[];
  /** Commits that operators have sent so far. */
  readonly commits: readonly SentCommit[];
  /**
   * Commits the manifest with the given members marked as leaving. Several
   * operators commit concurrently, all expecting the same version.
   */
  commitManifest(leaving: ReadonlySet<string>, operators?: number): void;
  /** Hosts of targets and proxies in a data centre. */
  hostsOf(dataCentre: number): string[];
  /**
   * Runs until all proxies are ready and each group has a primary; false on
   * timeout.
   */
  bootstrap(): boolean;
}

const JITTER_MS = 0.5;
const OPERATOR_HOST = '10.0.9.1';
const BOOTSTRAP_LIMIT_MS = 20_000;
/** About ten times the steps of a run of the longest scenario. */
const MAXIMUM_STEPS = 5_000_000;

/** Creates a cluster and starts its proxies. */
export function createCluster(options: ClusterOptions): Cluster {
  const {deployment, proxies: proxyCount} = options;
  const timer = createBoundedTimer(createVirtualTimer(), MAXIMUM_STEPS);
  const random = createRandom(options.seed);
  const runtime = createRuntime({timer, random: random.split()});
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: (from, to) => latencyBetween(deployment, from, to),
    jitter: JITTER_MS,
  });
  const platform = createPlatformAccess(timer);
  const targets = startTargetFleet({
    timer,
    random: random.split(),
    network,
    deployment,
    groups: options.groups,
    lag: options.lag,
  });
  const proxies = createProxyFleet({
    timer,
    random: random.split(),
    network,
    platform,
    deployment,
    size: proxyCount,
    writeLog: options.writeLog ?? (() => {}),
    overrides: options.overrides ?? {},
  });
  const groups = Array.from({length: options.groups}, (unusedItem, index) =>
    groupName(deployment, index),
  );
  const commits: SentCommit[] = [];
  let version = 0;

  function commit(leaving: ReadonlySet<string>, operators = 1): void {
    const expectedVersion = version++;
    for (let operator = 0; operator < operators; operator++) {
      // Concurrent manifests differ, so that at most one of them can be
      // accepted.
      const staleness = options.readStaleness + operator;
      sendCommit(expectedVersion, `operator-${operator + 1}`, staleness);
    }

    function sendCommit(
      expected: number,
      committedBy: string,
      staleness: number,
    ): void {
      const commitId = `commit-${expected + 1}-${committedBy}`;
      const sent: SentCommit = {
        expectedVersion: expected,
        commitId,
        leaving: new Set(leaving),
      };
      commits.push(sent);
      const task = commitManifest({
        runtime,
        platform: platform.clientFor(OPERATOR_HOST, timer),
        body: manifestText(deployment, options.groups, staleness, leaving),
        fileName: 'manifest.yaml',
        expectedVersion: expected,
        commitId,
        committedBy,
      });
      runtime.spawn('commit', task).result.onSettled(result => {
        sent.result = result;
      });
    }
  }

  function isServing(): boolean {
    return (
      proxies.offered().length === proxyCount &&
      groups.every(group => targets.primary(group) !== undefined)
    );
  }

  for (const target of targets.targets) {
    platform.list({
      id: target.id,
      role: 'target',
      address: target.address,
      dataCentre: deployment.dataCentres[target.dataCentre] ?? '',
      state: 'live',
    });
  }
  commit(new Set());
  for (let index = 0; index < proxyCount; index++) {
    proxies.start(`proxy-${index + 1}`);
  }

  return {
    deployment,
    timer,
    random,
    runtime,
    network,
    platform,
    targets,
    proxies,
    groups,
    commits,
    commitManifest: commit,
    hostsOf: dataCentre =>
      [
        ...targets.targets.map(({host}) => host),
        ...Array.from({length: proxyCount}, (unusedItem, index) =>
          proxies.hostOf(`proxy-${index + 1}`),
        ),
      ].filter(host => dataCentreOf(host) === dataCentre),
    bootstrap: () => timer.runUntil(isServing, BOOTSTRAP_LIMIT_MS),
  };
}
