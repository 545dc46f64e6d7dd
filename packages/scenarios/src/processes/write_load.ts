/** Writers that append without pause, each in a session of its own. */
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
}

/** Starts writers. */
export function startWriteLoad(options: WriteLoadOptions): WriteLoad {
  const {group, list, writers, pause, proxies} = options;
  const confirmed: ConfirmedEntry[] = [];
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

  const running = Promise.allSettled(
    Array.from({length: writers}, (unused, writer) =>
      write(createSessionCaller({group, proxies}), writer),
    ),
  );

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

  return {confirmed, untilConfirmed, stop};
}
