/** Measures the cost of manifests for the poller and for the relay, by size. */
import {
  createManifestSynchronizer,
  inspectManifest,
  manifestDigest,
} from '@kelpstep/manifest';
import {createGroupDirectory} from '@kelpstep/failover';
import {MANIFEST_ROW_KEY, TABLES, createFailure} from '@kelpstep/protocol';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {DEPLOYMENTS, manifestText} from '@kelpstep/scenarios';
import {
  createFakeNetwork,
  createInProcessPlatformClient,
  createPlatform,
} from '@kelpstep/stand-ins';
import {Err} from 'ts-results';

import {processorTime, usedHeapBytes} from './meter';
import {Point, Series, measureAfterWarmUp} from './series';

const READ_STALENESS_MS = 1000;
const PARSE_COUNT = 5;
const POLLING_TIME_MS = 60_000;

/** Measures parsing, validating and applying a manifest of a number of groups. */
export function measureManifest(groups: number): Point {
  const body = manifestText(
    DEPLOYMENTS.utility,
    groups,
    READ_STALENESS_MS,
    new Set(),
  );
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const network = createFakeNetwork({timer, random: createRandom(2)});
  const directory = createGroupDirectory({
    runtime,
    transport: network.transportFor('10.0.0.1'),
    promoterNumber: 1,
    dataCentre: 'lima',
    watchRank: () => undefined,
    isLeaving: () => false,
  });
  const heapBefore = usedHeapBytes();
  const parseStartedAt = processorTime();
  let manifest = inspectManifest(body, 'manifest.yaml').manifest;
  for (let repetition = 1; repetition < PARSE_COUNT; repetition++) {
    manifest = inspectManifest(body, 'manifest.yaml').manifest;
  }
  const parseTime = (processorTime() - parseStartedAt) / PARSE_COUNT;
  const digestStartedAt = processorTime();
  manifestDigest(body);
  const digestTime = processorTime() - digestStartedAt;
  const manifestHeap = usedHeapBytes() - heapBefore;
  const updateStartedAt = processorTime();
  directory.updateManifest(manifest?.groups ?? []);
  timer.advance(1000);
  const updateTime = processorTime() - updateStartedAt;
  const viewHeap = usedHeapBytes() - heapBefore - manifestHeap;
  const groupsTaken = manifest?.groups.length ?? 0;
  directory.close();
  return {
    size: groups,
    values: {
      bodyBytes: Buffer.byteLength(body),
      answerBytes: Buffer.byteLength(JSON.stringify({body})),
      parseMilliseconds: parseTime,
      digestMilliseconds: digestTime,
      takeMilliseconds: updateTime,
      manifestHeap,
      viewHeap,
      groupsTaken,
    },
  };
}

/** Measures a poller that finds new manifest versions at a given rate. */
export function measurePoller(versionsPerMinute: number): Point {
  const timer = createVirtualTimer();
  const platform = createPlatform(timer);
  const runtime = createRuntime({timer, random: createRandom(1)});
  const synchronizer = createManifestSynchronizer({
    runtime,
    platform: createInProcessPlatformClient({platform, timer}),
    polls: () => true,
    peers: () => [],
    fetchManifest: () => settledFuture(Err(createFailure('OUTCOME_UNKNOWN'))),
  });
  let version = 0;
  function commit(): void {
    const body = manifestText(
      DEPLOYMENTS.utility,
      3,
      READ_STALENESS_MS + version,
      new Set(),
    );
    const digest = manifestDigest(body);
    platform.putObject(digest, body);
    const commitId = `commit-${version}`;
    const committedAt = timer.wallClock();
    const row = {commitId, digest, committedBy: 'operator', committedAt};
    platform.writeRow(TABLES.manifest, MANIFEST_ROW_KEY, version, row);
    version++;
  }
  commit();
  synchronizer.start();
  timer.advance(5000);
  const callsBefore = {...platform.calls()};
  const processorTimeBefore = processorTime();
  if (versionsPerMinute > 0) {
    timer.every(60_000 / versionsPerMinute, commit);
  }
  timer.advance(POLLING_TIME_MS);
  const seconds = POLLING_TIME_MS / 1000;
  const callsAfter = platform.calls();
  return {
    size: versionsPerMinute,
    values: {
      rowReads: (callsAfter.readRow - callsBefore.readRow) / seconds,
      objectReads: (callsAfter.getObject - callsBefore.getObject) / seconds,
      processorMilliseconds: (processorTime() - processorTimeBefore) / seconds,
      versionsTaken: synchronizer.version() - 1,
    },
  };
}

/** The stand-in manifest supports at most 254 groups. */
const GROUP_COUNTS = [3, 10, 30, 100, 250];
const VERSION_RATES_PER_MINUTE = [0, 6, 12];

/** Measures manifests by number of groups, and the poller by version rate. */
export function measureManifestSeries(): Series[] {
  return [
    {
      role: 'relay, per manifest taken',
      variable: 'groups',
      points: measureAfterWarmUp(GROUP_COUNTS, measureManifest),
    },
    {
      role: 'poller, per second',
      variable: 'versions/min',
      points: VERSION_RATES_PER_MINUTE.map(measurePoller),
    },
  ];
}
