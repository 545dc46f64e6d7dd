/** Writers that append without pause, each in a session of its own. */
import type {Failure} from '@kelpstep/protocol';
import {setTimeout as sleep} from 'node:timers/promises';

import {realClock} from './clock';
import {eventually} from './eventually';
import {SessionCaller, createSessionCaller} from './session_caller';

/** An entry whose confirmation reached its writer. */
export interface ConfirmedEntry {
  readonly entry: string;
  readonly sentAt: number;
  /** Monotonic milliseconds. */
  readonly confirmedAt: number;
}

/** Writers that run until they are stopped. */
export interface WriteLoad {
  readonly confirmed: readonly ConfirmedEntry[];
  /** Failures that writers met and got over. */
  failures(): readonly Failure[];
  /** Waits for a number of confirmations of entries sent from now on. */
  untilConfirmed(count: number): Promise<void>;
  /** Lets each writer finish its entry; rejects if one failed for good. */
  stop(): Promise<void>;
}

/** What a load is made of. */
export interface WriteLoadOptions {
  readonly group: string;
  readonly list: string;
  readonly writers: number;
  /** Pause of a writer between its entries, milliseconds. */
  readonly pause: number;
  proxies(): readonly string[];
  /** Time for one attempt, milliseconds. */
  readonly attemptTime?: number | undefined;
}

/** Starts writers. */
export function startWriteLoad(options: WriteLoadOptions): WriteLoad {
  const {group, list, writers, pause, proxies} = options;
  const confirmed: ConfirmedEntry[] = [];
  const callers = Array.from({length: writers}, () =>
    createSessionCaller({group, proxies, attemptTime: options.attemptTime}),
  );
  let stopping = false;

  async function write(caller: SessionCaller, writer: number): Promise<void> {
    for (let count = 0; !stopping; count++) {
      const entry = `${writer}-${count}`;
      const sentAt = realClock.now();
      await caller.append(list, entry);
      confirmed.push({entry, sentAt, confirmedAt: realClock.now()});
      await sleep(pause);
    }
  }

  const running = Promise.allSettled(callers.map(write));

  async function untilConfirmed(count: number): Promise<void> {
    const from = realClock.now();
    await eventually(`${count} confirmed entries`, async () => {
      const since = confirmed.filter(({sentAt}) => sentAt >= from);
      return since.length >= count || undefined;
    });
  }

  async function stop(): Promise<void> {
    stopping = true;
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
