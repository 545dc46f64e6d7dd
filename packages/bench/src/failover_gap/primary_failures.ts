/** Measures how long no write is confirmed after a primary fails. */
import {
  ConfirmedEntry,
  PROCESS_GROUP,
  ProcessCluster,
  realClock,
  startWriteLoad,
} from '@kelpstep/scenarios';

/** How the primary fails: its process is killed, or suspended by SIGSTOP. */
export type PrimaryFailureKind = 'kill' | 'freeze';

const WRITER_COUNT = 4;
const WRITE_PAUSE_MS = 15;
const ATTEMPT_TIMEOUT_MS = 5000;
const ENTRY_COUNT_BEFORE = 20;
const ENTRY_COUNT_AFTER = 8;

/** Starts writers with the same settings for every measurement. */
export function startWriters(cluster: ProcessCluster) {
  return startWriteLoad({
    group: PROCESS_GROUP,
    list: 'measured',
    writers: WRITER_COUNT,
    pause: WRITE_PAUSE_MS,
    proxies: cluster.callerAddresses,
    attemptTime: ATTEMPT_TIMEOUT_MS,
  });
}

/** Returns the longest time without a confirmation, in milliseconds. */
export function longestConfirmationGap(
  confirmed: readonly Pick<ConfirmedEntry, 'confirmedAt'>[],
  from: number,
  to: number,
): number {
  const times = confirmed
    .map(({confirmedAt}) => confirmedAt)
    .filter(time => time > from && time <= to)
    .sort((left, right) => left - right);
  const starts = [from, ...times];
  const gaps = [...times, to].map((time, index) => time - (starts[index] ?? 0));
  return Math.max(...gaps);
}

/**
 * Makes the primary fail `runs` times; returns the longest time without a
 * confirmed write of each run, in milliseconds.
 */
export async function measurePrimaryFailures(
  cluster: ProcessCluster,
  kind: PrimaryFailureKind,
  runs: number,
): Promise<number[]> {
  const load = startWriters(cluster);
  const observingProxy = cluster.plans[0]?.name ?? '';
  const gaps: number[] = [];
  for (let run = 0; run < runs; run++) {
    const primary = await cluster.untilConverged();
    await load.untilConfirmed(ENTRY_COUNT_BEFORE);
    const {child} = cluster.database(primary.id);
    const failedAt = realClock.now();
    child.kill(kind === 'kill' ? 'SIGKILL' : 'SIGSTOP');
    await cluster.untilPrimary(observingProxy, primary);
    await load.untilConfirmed(ENTRY_COUNT_AFTER);
    gaps.push(
      longestConfirmationGap(load.confirmed, failedAt, realClock.now()),
    );
    if (kind === 'kill') {
      await cluster.restartDatabase(primary.id);
    } else {
      child.kill('SIGCONT');
    }
  }
  await load.stop();
  await cluster.untilConverged();
  return gaps;
}
