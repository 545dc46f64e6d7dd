/** What a proxy's watched and used groups cost. */
import {createGroupDirectory, promoterNumberOf} from '@kelpstep/failover';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createFakeNetwork} from '@kelpstep/stand-ins';

import {countTransport, createTraffic} from './counting_transport';
import {measureStretch, usedHeap} from './meter';
import {Point, Series, measureWarm} from './series';
import {startStubTargets} from './stub_targets';

/** How the groups of a run are treated. */
export interface WatcherLoad {
  readonly groups: number;
  /** Rank as watcher; undefined if the groups are only used. */
  readonly rank: number | undefined;
  /** True if callers use the groups all the time. */
  readonly used: boolean;
  readonly writesPerSecond: number;
  /** Groups that the manifest is said to have: they decide the pace. */
  readonly groupsOfManifest: number;
}

const TARGET_HOST = '10.0.0.1';
const PROXY_HOST = '10.0.1.1';
const SETTLING_TIME = 12_000;
const MEASURED_TIME = 20_000;
const USE_PERIOD = 1000;
const SEED = 1;

/** Runs one size in virtual time. */
export function measureWatcher(load: WatcherLoad): Point {
  const timer = createVirtualTimer();
  const random = createRandom(SEED);
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
  const heapBefore = usedHeap();
  const directory = createGroupDirectory({
    runtime,
    transport: countTransport(network.transportFor(PROXY_HOST), traffic),
    promoterNumber: promoterNumberOf({proxy: PROXY_HOST, incarnation: '1'}),
    dataCentre: 'centre-1',
    watchRank: () => load.rank,
    isLeaving: () => false,
    groupCount: () => load.groupsOfManifest,
  });
  directory.updateManifest(groups);
  if (load.used) {
    runtime.timer.every(USE_PERIOD, () =>
      groups.forEach(({name}) => directory.find(name)?.touch()),
    );
  }
  timer.advance(SETTLING_TIME);
  const cost = measureStretch(timer, traffic, MEASURED_TIME);
  const heapBytes = usedHeap() - heapBefore;
  directory.close();
  return {size: load.groups, values: {...cost, heapBytes}};
}

const GROUP_COUNTS = [3, 10, 30, 100, 300];
const USED_GROUP_COUNTS = [3, 10, 30, 100];
const WRITE_RATES = [0, 10, 50];
const GROUPS_OF_WRITES = 10;
/** Today's size, whose watchers follow streams, and that of the target. */
const MANIFEST_SIZES = [8, 5667];

function measureGroups(
  role: string,
  counts: readonly number[],
  load: Omit<WatcherLoad, 'groups'>,
): Series {
  return {
    role: `${role}, manifest of ${load.groupsOfManifest} groups`,
    variable: 'groups',
    points: measureWarm(counts, groups => measureWatcher({groups, ...load})),
  };
}

function measureWrites(groupsOfManifest: number): Series {
  const load = {groups: GROUPS_OF_WRITES, rank: 0, used: false};
  return {
    role: `watcher rank 0 of ${GROUPS_OF_WRITES} written groups, manifest of ${groupsOfManifest} groups`,
    variable: 'writes/s',
    points: measureWarm(WRITE_RATES, writesPerSecond => ({
      ...measureWatcher({...load, writesPerSecond, groupsOfManifest}),
      size: writesPerSecond,
    })),
  };
}

/** The series of watched and used groups. */
export function measureWatchers(): Series[] {
  const idle = {used: false, writesPerSecond: 0};
  return [
    ...MANIFEST_SIZES.flatMap(groupsOfManifest => [
      ...[0, 1].map(rank =>
        measureGroups(`watcher rank ${rank}`, GROUP_COUNTS, {
          ...idle,
          rank,
          groupsOfManifest,
        }),
      ),
      measureWrites(groupsOfManifest),
    ]),
    measureGroups('used group', USED_GROUP_COUNTS, {
      rank: undefined,
      used: true,
      writesPerSecond: 0,
      groupsOfManifest: 5667,
    }),
  ];
}
