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
}

const TARGET_HOST = '10.0.0.1';
const PROXY_HOST = '10.0.1.1';
const SETTLING_TIME = 12_000;
const MEASURED_TIME = 12_000;
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

/** The series of watched and used groups. */
export function measureWatchers(): Series[] {
  const idle = {used: false, writesPerSecond: 0};
  const perGroup = (
    role: string,
    counts: readonly number[],
    load: Omit<WatcherLoad, 'groups'>,
  ) => ({
    role,
    variable: 'groups',
    points: measureWarm(counts, groups => measureWatcher({groups, ...load})),
  });
  return [
    perGroup('watcher rank 0', GROUP_COUNTS, {...idle, rank: 0}),
    perGroup('watcher rank 1', GROUP_COUNTS, {...idle, rank: 1}),
    perGroup('used group', USED_GROUP_COUNTS, {
      rank: undefined,
      used: true,
      writesPerSecond: 0,
    }),
    {
      role: `watcher rank 0 of ${GROUPS_OF_WRITES} written groups`,
      variable: 'writes/s',
      points: WRITE_RATES.map(writesPerSecond => ({
        ...measureWatcher({
          groups: GROUPS_OF_WRITES,
          rank: 0,
          used: false,
          writesPerSecond,
        }),
        size: writesPerSecond,
      })),
    },
  ];
}
