/** A simulated run's processes on one network, in virtual time. */
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

/** What a cluster is made of. */
export interface ClusterOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly proxies: number;
  readonly groups: number;
  /** Replication lag, milliseconds. */
  readonly lag: number;
  /** Age that reads accept if they state none, milliseconds. */
  readonly readStaleness: number;
  readonly overrides?: Pick<ProxyContext, 'policies' | 'timings'>;
  readonly writeLog?: LineWriter;
}

/** Proxies, targets and the platform. */
export interface Cluster {
  readonly deployment: Deployment;
  readonly timer: VirtualTimer;
  readonly random: Random;
  /** Runs the tasks of callers and operators. */
  readonly runtime: Runtime;
  readonly network: FakeNetwork;
  readonly platform: PlatformAccess;
  readonly targets: TargetFleet;
  readonly proxies: ProxyFleet;
  readonly groups: readonly string[];
  /** Commits the manifest with these members leaving. */
  commitManifest(leaving: ReadonlySet<string>): void;
  /** Hosts of a data centre. */
  hostsOf(dataCentre: number): string[];
  /** Runs until each group has a primary that proxies know, or fails. */
  bootstrap(): boolean;
}

const JITTER = 0.5;
const OPERATOR_HOST = '10.0.9.1';
const BOOTSTRAP_LIMIT = 20_000;
/** Some ten times what a run of the longest scenario takes. */
const MOST_STEPS = 5_000_000;

/** Creates a cluster; its proxies start at once. */
export function createCluster(options: ClusterOptions): Cluster {
  const {deployment, proxies: proxyCount} = options;
  const timer = createBoundedTimer(createVirtualTimer(), MOST_STEPS);
  const random = createRandom(options.seed);
  const runtime = createRuntime({timer, random: random.split()});
  const network = createFakeNetwork({
    timer,
    random: random.split(),
    latency: (from, to) => latencyBetween(deployment, from, to),
    jitter: JITTER,
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
  let version = 0;

  function commit(leaving: ReadonlySet<string>): void {
    const body = manifestText(
      deployment,
      options.groups,
      options.readStaleness,
      leaving,
    );
    const expectedVersion = version++;
    runtime.spawn(
      'commit',
      commitManifest({
        runtime,
        platform: platform.clientFor(OPERATOR_HOST, timer),
        body,
        fileName: 'manifest.yaml',
        expectedVersion,
        commitId: `commit-${version}`,
        committedBy: 'operator',
      }),
    );
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
    commitManifest: commit,
    hostsOf: dataCentre =>
      [
        ...targets.targets.map(({host}) => host),
        ...Array.from({length: proxyCount}, (unusedItem, index) =>
          proxies.hostOf(`proxy-${index + 1}`),
        ),
      ].filter(host => dataCentreOf(host) === dataCentre),
    bootstrap: () => timer.runUntil(isServing, BOOTSTRAP_LIMIT),
  };
}
