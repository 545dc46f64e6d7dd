/**
 * Naive failover as a baseline, without a proxy: a controller polls the primary
 * every second and promotes the most advanced replica after three unanswered
 * polls. Writers connect directly to the primary and count a write as confirmed
 * once it answers.
 */
import {
  Method,
  TargetStatus,
  targetExecute,
  targetFence,
  targetFollow,
  targetPromote,
} from '@kelpstep/protocol';
import {
  ProcessTable,
  StandInProcess,
  appendStatement,
  probeTarget,
  connectToTarget,
  eventually,
  realClock,
  requestTarget,
} from '@kelpstep/scenarios';
import {setTimeout as sleep} from 'node:timers/promises';

import {PrimaryFailureKind, longestConfirmationGap} from './primary_failures';

const MEMBER_IDS = ['naive-1', 'naive-2', 'naive-3'];
const POLL_INTERVAL_MS = 1000;
const MISSED_POLL_LIMIT = 3;
const WRITE_TIMEOUT_MS = 500;
const WRITE_PAUSE_MS = 15;
const WRITER_COUNT = 4;
const CONFIRMATION_COUNT = 8;

interface Confirmation {
  readonly confirmedAt: number;
}

async function sendCommand<P, R>(
  address: string,
  method: Method<P, R>,
  parameters: P,
): Promise<void> {
  const peer = await connectToTarget(address);
  if (peer !== undefined) {
    await requestTarget(peer, method, parameters);
    peer.close('ordered');
  }
}

/**
 * Starts three databases, a controller and writers. The returned group measures
 * the confirmation gap of each primary failure, in milliseconds.
 */
export async function startNaiveGroup(
  processes: ProcessTable,
  databaseOptions: readonly string[],
) {
  const databases = new Map<string, StandInProcess>();
  const confirmed: Confirmation[] = [];
  let primary = MEMBER_IDS[0] ?? '';
  let term = 0;
  let isStopping = false;

  function addressOf(id: string): string {
    return databases.get(id)?.address ?? '';
  }

  async function start(id: string): Promise<void> {
    const previousAddress = databases.get(id)?.address;
    const parameters = ['database', '--id', id, ...databaseOptions];
    databases.set(
      id,
      await processes.startStandIn(parameters, previousAddress),
    );
  }

  async function follow(id: string): Promise<void> {
    await sendCommand(addressOf(id), targetFence, {term});
    const leader = addressOf(primary);
    await sendCommand(addressOf(id), targetFollow, {term, primary: leader});
  }

  async function promote(id: string): Promise<void> {
    term++;
    await sendCommand(addressOf(id), targetFence, {term});
    await sendCommand(addressOf(id), targetPromote, {term});
    const failedPrimary = primary;
    primary = id;
    const others = MEMBER_IDS.filter(
      other => other !== id && other !== failedPrimary,
    );
    await Promise.all(others.map(follow));
  }

  async function promoteMostAdvanced(): Promise<void> {
    const candidates = MEMBER_IDS.filter(id => id !== primary);
    const statuses = await Promise.all(
      candidates.map(id => probeTarget(addressOf(id))),
    );
    const [mostAdvanced] = statuses
      .filter((status): status is TargetStatus => status !== undefined)
      .sort((left, right) => right.end.position - left.end.position);
    if (mostAdvanced !== undefined) {
      await promote(mostAdvanced.target);
    }
  }

  async function runController(): Promise<void> {
    let missedPolls = 0;
    while (!isStopping) {
      await sleep(POLL_INTERVAL_MS);
      const answer = await Promise.race([
        probeTarget(addressOf(primary)),
        sleep(POLL_INTERVAL_MS, undefined),
      ]);
      missedPolls = answer === undefined ? missedPolls + 1 : 0;
      if (missedPolls === MISSED_POLL_LIMIT) {
        await promoteMostAdvanced();
        missedPolls = 0;
      }
    }
  }

  async function runWriter(): Promise<void> {
    while (!isStopping) {
      const peer = await connectToTarget(addressOf(primary));
      let isUsable = peer !== undefined;
      const leader = primary;
      while (
        !isStopping &&
        isUsable &&
        peer !== undefined &&
        leader === primary
      ) {
        const statement = appendStatement('naive', 'entry');
        const parameters = {statement, mode: 'write' as const, term};
        const reply = await requestTarget(
          peer,
          targetExecute,
          parameters,
          WRITE_TIMEOUT_MS,
        );
        isUsable = reply.ok;
        if (isUsable) {
          confirmed.push({confirmedAt: realClock.now()});
        }
        await sleep(WRITE_PAUSE_MS);
      }
      peer?.close('reconnecting');
      await sleep(WRITE_PAUSE_MS);
    }
  }

  function untilConfirmed(count: number): Promise<unknown> {
    const from = confirmed.length;
    return eventually('confirmed writes in the naive group', async () =>
      confirmed.length >= from + count ? true : undefined,
    );
  }

  await Promise.all(MEMBER_IDS.map(start));
  term = 1;
  await sendCommand(addressOf(primary), targetFence, {term});
  await sendCommand(addressOf(primary), targetPromote, {term});
  await Promise.all(MEMBER_IDS.slice(1).map(follow));
  const running = [
    runController(),
    ...Array.from({length: WRITER_COUNT}, runWriter),
  ];

  return {
    async measurePrimaryFailures(
      kind: PrimaryFailureKind,
      runs: number,
    ): Promise<number[]> {
      const gaps: number[] = [];
      for (let run = 0; run < runs; run++) {
        await untilConfirmed(CONFIRMATION_COUNT);
        const failedPrimary = primary;
        const failedAt = realClock.now();
        const child = databases.get(failedPrimary)?.child;
        child?.kill(kind === 'kill' ? 'SIGKILL' : 'SIGSTOP');
        await eventually('a new primary in the naive group', async () =>
          primary !== failedPrimary ? true : undefined,
        );
        await untilConfirmed(CONFIRMATION_COUNT);
        gaps.push(longestConfirmationGap(confirmed, failedAt, realClock.now()));
        if (kind === 'kill') {
          await start(failedPrimary);
        } else {
          child?.kill('SIGCONT');
        }
        await follow(failedPrimary);
      }
      return gaps;
    },
    async stop(): Promise<void> {
      isStopping = true;
      await Promise.all(running);
    },
  };
}
