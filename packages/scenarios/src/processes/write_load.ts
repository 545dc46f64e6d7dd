/** Writers that append entries continuously, each in its own session. */
import type {Failure} from '@kelpstep/protocol';
import {setTimeout as sleep} from 'node:timers/promises';

import {realClock} from './clock';
import {eventually} from './eventually';
import {SessionCaller, createSessionCaller} from './session_caller';

/** A confirmed entry. Times are monotonic milliseconds. */
export interface ConfirmedEntry {
  readonly entry: string;
  readonly sentAt: number;
  readonly confirmedAt: number;
}

/** Writers that run until they are stopped. */
export interface WriteLoad {
  readonly confirmed: readonly ConfirmedEntry[];
  /** Failures of all attempts, including those that were retried. */
  failures(): readonly Failure[];
  /** Waits until `count` entries that are sent from now on are confirmed. */
  untilConfirmed(count: number): Promise<void>;
  /** Stops after each writer's current entry; rejects if a writer failed. */
  stop(): Promise<void>;
}

/** Options of `startWriteLoad`. */
export interface WriteLoadOptions {
  readonly group: string;
  readonly list: string;
  readonly writers: number;
  /** Pause of each writer between two entries, milliseconds. */
  readonly pause: number;
  proxies(): readonly string[];
  /** Time for one attempt, milliseconds. */
  readonly attemptTime?: number | undefined;
}

/** Starts the writers. */
export function startWriteLoad(options: WriteLoadOptions): WriteLoad {
  const {group, list, writers, pause, proxies} = options;
  const confirmed: ConfirmedEntry[] = [];
  const callers = Array.from({length: writers}, () =>
    createSessionCaller({group, proxies, attemptTime: options.attemptTime}),
  );
  let isStopping = false;

  async function runWriter(
    caller: SessionCaller,
    writer: number,
  ): Promise<void> {
    for (let count = 0; !isStopping; count++) {
      const entry = `${writer}-${count}`;
      const sentAt = realClock.now();
      await caller.append(list, entry);
      confirmed.push({entry, sentAt, confirmedAt: realClock.now()});
      await sleep(pause);
    }
  }

  const running = Promise.allSettled(callers.map(runWriter));

  async function untilConfirmed(count: number): Promise<void> {
    const from = realClock.now();
    await eventually(`${count} confirmed entries`, async () => {
      const confirmedSince = confirmed.filter(({sentAt}) => sentAt >= from);
      return confirmedSince.length >= count || undefined;
    });
  }

  async function stop(): Promise<void> {
    isStopping = true;
    for (const outcome of await running) {
      if (outcome.status === 'rejected') {
        throw outcome.reason;
      }
    }
  }

  function failures(): readonly Failure[] {
    return callers.flatMap(caller => caller.failures());
  }

  return {confirmed, failures, untilConfirmed, stop};
}
