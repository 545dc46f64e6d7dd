/** Losses of a primary: how long no write is confirmed. */
import {
  ConfirmedEntry,
  PROCESS_GROUP,
  ProcessCluster,
  realClock,
  startWriteLoad,
} from '@kelpstep/scenarios';

/** How a primary is lost. */
export type LossKind = 'kill' | 'freeze';

const WRITERS = 4;
const PAUSE = 15;
const ATTEMPT_TIME = 5000;
const ENTRIES_BEFORE = 20;
const ENTRIES_AFTER = 8;

/** Writers as all measurements use them. */
export function startMeasuredWriters(cluster: ProcessCluster) {
  return startWriteLoad({
    group: PROCESS_GROUP,
    list: 'measured',
    writers: WRITERS,
    pause: PAUSE,
    proxies: cluster.callerAddresses,
    attemptTime: ATTEMPT_TIME,
  });
}

/** Longest time without a confirmation between two times. */
export function longestGap(
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

/** Loses the primary again and again; gives the gaps. */
export async function measureLosses(
  cluster: ProcessCluster,
  kind: LossKind,
  runs: number,
): Promise<number[]> {
  const load = startMeasuredWriters(cluster);
  const observer = cluster.plans[0]?.name ?? '';
  const gaps: number[] = [];
  for (let run = 0; run < runs; run++) {
    const primary = await cluster.untilWhole();
    await load.untilConfirmed(ENTRIES_BEFORE);
    const {child} = cluster.database(primary.id);
    const lostAt = realClock.now();
    child.kill(kind === 'kill' ? 'SIGKILL' : 'SIGSTOP');
    await cluster.untilPrimary(observer, primary);
    await load.untilConfirmed(ENTRIES_AFTER);
    gaps.push(longestGap(load.confirmed, lostAt, realClock.now()));
    if (kind === 'kill') {
      await cluster.restartDatabase(primary.id);
    } else {
      child.kill('SIGCONT');
    }
  }
  await load.stop();
  await cluster.untilWhole();
  return gaps;
}
