/**
 * The naive version: no proxy; a controller polls the primary each second and
 * after three polls without an answer promotes the replica that is ahead.
 * Writers send straight to the primary and take its answer for confirmed.
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
  askTarget,
  connectToTarget,
  eventually,
  realClock,
  requestTarget,
} from '@kelpstep/scenarios';
import {setTimeout as sleep} from 'node:timers/promises';

import {LossKind, longestGap} from './losses';

const MEMBERS = ['naive-1', 'naive-2', 'naive-3'];
const POLL_PERIOD = 1000;
const MISSED_POLLS = 3;
const WRITE_TIMEOUT = 500;
const PAUSE = 15;
const WRITERS = 4;
const ENTRIES = 8;

interface Confirmation {
  readonly confirmedAt: number;
}

async function order<P, R>(
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

/** Starts three databases, a controller and writers; measures losses. */
export async function startNaiveGroup(
  processes: ProcessTable,
  databaseOptions: readonly string[],
) {
  const databases = new Map<string, StandInProcess>();
  const confirmed: Confirmation[] = [];
  let primary = MEMBERS[0] ?? '';
  let term = 0;
  let stopping = false;

  function addressOf(id: string): string {
    return databases.get(id)?.address ?? '';
  }

  async function start(id: string): Promise<void> {
    const given = databases.get(id)?.address;
    const parameters = ['database', '--id', id, ...databaseOptions];
    databases.set(id, await processes.startStandIn(parameters, given));
  }

  async function follow(id: string): Promise<void> {
    await order(addressOf(id), targetFence, {term});
    const leader = addressOf(primary);
    await order(addressOf(id), targetFollow, {term, primary: leader});
  }

  async function promote(id: string): Promise<void> {
    term++;
    await order(addressOf(id), targetFence, {term});
    await order(addressOf(id), targetPromote, {term});
    const lost = primary;
    primary = id;
    const others = MEMBERS.filter(other => other !== id && other !== lost);
    await Promise.all(others.map(follow));
  }

  async function promoteFurthest(): Promise<void> {
    const candidates = MEMBERS.filter(id => id !== primary);
    const statuses = await Promise.all(
      candidates.map(id => askTarget(addressOf(id))),
    );
    const [best] = statuses
      .filter((status): status is TargetStatus => status !== undefined)
      .sort((left, right) => right.end.position - left.end.position);
    if (best !== undefined) {
      await promote(best.target);
    }
  }

  async function control(): Promise<void> {
    let missed = 0;
    while (!stopping) {
      await sleep(POLL_PERIOD);
      const answer = await Promise.race([
        askTarget(addressOf(primary)),
        sleep(POLL_PERIOD, undefined),
      ]);
      missed = answer === undefined ? missed + 1 : 0;
      if (missed === MISSED_POLLS) {
        await promoteFurthest();
        missed = 0;
      }
    }
  }

  async function write(): Promise<void> {
    while (!stopping) {
      const peer = await connectToTarget(addressOf(primary));
      let works = peer !== undefined;
      const leader = primary;
      while (!stopping && works && peer !== undefined && leader === primary) {
        const statement = appendStatement('naive', 'entry');
        const parameters = {statement, mode: 'write' as const, term};
        const reply = await requestTarget(
          peer,
          targetExecute,
          parameters,
          WRITE_TIMEOUT,
        );
        works = reply.ok;
        if (works) {
          confirmed.push({confirmedAt: realClock.now()});
        }
        await sleep(PAUSE);
      }
      peer?.close('moving on');
      await sleep(PAUSE);
    }
  }

  function untilConfirmed(count: number): Promise<unknown> {
    const from = confirmed.length;
    return eventually('writes of the naive version', async () =>
      confirmed.length >= from + count ? true : undefined,
    );
  }

  await Promise.all(MEMBERS.map(start));
  term = 1;
  await order(addressOf(primary), targetFence, {term});
  await order(addressOf(primary), targetPromote, {term});
  await Promise.all(MEMBERS.slice(1).map(follow));
  const running = [control(), ...Array.from({length: WRITERS}, write)];

  return {
    async measureLosses(kind: LossKind, runs: number): Promise<number[]> {
      const gaps: number[] = [];
      for (let run = 0; run < runs; run++) {
        await untilConfirmed(ENTRIES);
        const lost = primary;
        const lostAt = realClock.now();
        const child = databases.get(lost)?.child;
        child?.kill(kind === 'kill' ? 'SIGKILL' : 'SIGSTOP');
        await eventually('a successor', async () =>
          primary !== lost ? true : undefined,
        );
        await untilConfirmed(ENTRIES);
        gaps.push(longestGap(confirmed, lostAt, realClock.now()));
        if (kind === 'kill') {
          await start(lost);
        } else {
          child?.kill('SIGCONT');
        }
        await follow(lost);
      }
      return gaps;
    },
    async stop(): Promise<void> {
      stopping = true;
      await Promise.all(running);
    },
  };
}
