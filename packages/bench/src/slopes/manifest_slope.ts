/** What manifests cost poller and relay, by their size. */
import {
  createManifestKeeper,
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

import {processorTime, usedHeap} from './meter';
import {Point, Series, measureWarm} from './series';

const READ_STALENESS = 1000;
const REPETITIONS = 5;
const POLLED_TIME = 60_000;

/** Taking a manifest of so many groups: reading, checking, using it. */
export function measureManifest(groups: number): Point {
  const body = manifestText(
    DEPLOYMENTS.utility,
    groups,
    READ_STALENESS,
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
  const heapBefore = usedHeap();
  const before = processorTime();
  let manifest = inspectManifest(body, 'manifest.yaml').manifest;
  for (let repetition = 1; repetition < REPETITIONS; repetition++) {
    manifest = inspectManifest(body, 'manifest.yaml').manifest;
  }
  const parsing = (processorTime() - before) / REPETITIONS;
  const digestAt = processorTime();
  manifestDigest(body);
  const digesting = processorTime() - digestAt;
  const updateAt = processorTime();
  directory.updateManifest(manifest?.groups ?? []);
  timer.advance(1000);
  const updating = processorTime() - updateAt;
  const heapBytes = usedHeap() - heapBefore;
  const groupsTaken = manifest?.groups.length ?? 0;
  directory.close();
  return {
    size: groups,
    values: {
      bodyBytes: Buffer.byteLength(body),
      answerBytes: Buffer.byteLength(JSON.stringify({body})),
      parseMilliseconds: parsing,
      digestMilliseconds: digesting,
      takeMilliseconds: updating,
      heapBytes,
      groupsTaken,
    },
  };
}

/** A poller that finds no new version, or a new one so often. */
export function measurePoller(versionsPerMinute: number): Point {
  const timer = createVirtualTimer();
  const platform = createPlatform(timer);
  const runtime = createRuntime({timer, random: createRandom(1)});
  const keeper = createManifestKeeper({
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
      READ_STALENESS + version,
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
  keeper.start();
  timer.advance(5000);
  const before = {...platform.calls()};
  const startedAt = processorTime();
  if (versionsPerMinute > 0) {
    timer.every(60_000 / versionsPerMinute, commit);
  }
  timer.advance(POLLED_TIME);
  const seconds = POLLED_TIME / 1000;
  const after = platform.calls();
  return {
    size: versionsPerMinute,
    values: {
      rowReads: (after.readRow - before.readRow) / seconds,
      objectReads: (after.getObject - before.getObject) / seconds,
      processorMilliseconds: (processorTime() - startedAt) / seconds,
      versionsTaken: keeper.version() - 1,
    },
  };
}

const GROUP_COUNTS = [3, 10, 30, 100, 300];
const VERSION_RATES = [0, 6, 12];

/** The series of manifests. */
export function measureManifests(): Series[] {
  return [
    {
      role: 'relay, per manifest taken',
      variable: 'groups',
      points: measureWarm(GROUP_COUNTS, measureManifest),
    },
    {
      role: 'poller, per second',
      variable: 'versions/min',
      points: VERSION_RATES.map(measurePoller),
    },
  ];
}
