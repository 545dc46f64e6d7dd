/** Measures the cost of the groups that a proxy monitors or uses. */
import {createGroupDirectory, promoterNumberOf} from '@kelpstep/failover';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createFakeNetwork} from '@kelpstep/stand-ins';

import {createCountingTransport, createTraffic} from './counting_transport';
import {measureCost, usedHeapBytes} from './meter';
import {Point, Series, measureAfterWarmUp} from './series';
import {startStubTargets} from './stub_targets';

/** Load of a run with monitored or used groups. */
export interface FailureDetectorLoad {
  readonly groups: number;
  /** Rank as failure detector; undefined if the groups are only used. */
  readonly rank: number | undefined;
  /** Whether a caller uses each group once per second. */
  readonly used: boolean;
  readonly writesPerSecond: number;
  /** Simulated number of groups in the manifest; sets the probe interval. */
  readonly manifestGroupCount: number;
}

const TARGET_HOST = '10.0.0.1';
const PROXY_HOST = '10.0.1.1';
const SETTLING_TIME_MS = 12_000;
const MEASUREMENT_TIME_MS = 20_000;
const USE_INTERVAL_MS = 1000;
const RANDOM_SEED = 1;

/** Runs one load in virtual time. */
export function measureFailureDetector(load: FailureDetectorLoad): Point {
  const timer = createVirtualTimer();
  const random = createRandom(RANDOM_SEED);
  const network = createFakeNetwork({timer, random: random.split()});
  const traffic = createTraffic();
  const groups = startStubTargets({
    transport: network.transportFor(TARGET_HOST),
    timer: network.timerFor(TARGET_HOST),
    host: TARGET_HOST,
    groups: load.groups,
    writesPerSecond: load.writesPerSecond,
  });
  const runtime = createRuntime({
    timer: network.timerFor(PROXY_HOST),
    random: random.split(),
  });
  const heapBefore = usedHeapBytes();
  const directory = createGroupDirectory({
    runtime,
    transport: createCountingTransport(
      network.transportFor(PROXY_HOST),
      traffic,
    ),
    promoterNumber: promoterNumberOf({proxy: PROXY_HOST, incarnation: '1'}),
    dataCentre: 'centre-1',
    watchRank: () => load.rank,
    isLeaving: () => false,
    groupCount: () => load.manifestGroupCount,
  });
  directory.updateManifest(groups);
  if (load.used) {
    runtime.timer.every(USE_INTERVAL_MS, () =>
      groups.forEach(({name}) => directory.find(name)?.touch()),
    );
  }
  timer.advance(SETTLING_TIME_MS);
  const cost = measureCost(timer, traffic, MEASUREMENT_TIME_MS);
  const heapBytes = usedHeapBytes() - heapBefore;
  directory.close();
  return {size: load.groups, values: {...cost, heapBytes}};
}

const GROUP_COUNTS = [3, 10, 30, 100, 300];
const USED_GROUP_COUNTS = [3, 10, 30, 100];
const WRITE_RATES_PER_SECOND = [0, 10, 50];
const WRITTEN_GROUP_COUNT = 10;
/**
 * Numbers of groups: the current one, at which position streams are followed,
 * and the planned one.
 */
const MANIFEST_GROUP_COUNTS = [8, 5667];

function measureGroups(
  role: string,
  counts: readonly number[],
  load: Omit<FailureDetectorLoad, 'groups'>,
): Series {
  return {
    role: `${role}, manifest of ${load.manifestGroupCount} groups`,
    variable: 'groups',
    points: measureAfterWarmUp(counts, groups =>
      measureFailureDetector({groups, ...load}),
    ),
  };
}

function measureWrites(manifestGroupCount: number): Series {
  const load = {groups: WRITTEN_GROUP_COUNT, rank: 0, used: false};
  return {
    role: `watcher rank 0 of ${WRITTEN_GROUP_COUNT} written groups, manifest of ${manifestGroupCount} groups`,
    variable: 'writes/s',
    points: measureAfterWarmUp(WRITE_RATES_PER_SECOND, writesPerSecond => ({
      ...measureFailureDetector({...load, writesPerSecond, manifestGroupCount}),
      size: writesPerSecond,
    })),
  };
}

/** Measures the series of monitored and used groups. */
export function measureFailureDetectorSeries(): Series[] {
  const idle = {used: false, writesPerSecond: 0};
  return [
    ...MANIFEST_GROUP_COUNTS.flatMap(manifestGroupCount => [
      ...[0, 1].map(rank =>
        measureGroups(`watcher rank ${rank}`, GROUP_COUNTS, {
          ...idle,
          rank,
          manifestGroupCount,
        }),
      ),
      measureWrites(manifestGroupCount),
    ]),
    measureGroups('used group', USED_GROUP_COUNTS, {
      rank: undefined,
      used: true,
      writesPerSecond: 0,
      manifestGroupCount: 5667,
    }),
  ];
}
