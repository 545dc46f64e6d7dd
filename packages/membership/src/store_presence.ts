/**
 * Tells other proxies through the platform's store that this one runs, and
 * counts them. The count sets each proxy's share of a target's connections.
 */
import type {TableRows, TableStore} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {z} from 'zod';

/** Start of the rows' keys; the proxy's name follows. */
export const PRESENCE_PREFIX = 'proxy/';

/** What presence is made of. */
export interface StorePresenceOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  /** Table that the proxies share for their own rows. */
  readonly table: string;
  /** Name of this proxy. */
  readonly self: string;
  /** Where other proxies reach it; empty if they don't. */
  readonly address: string;
}

/** Presence of this proxy and of the others. */
export interface StorePresence {
  /** Takes the table's rows, followed by who made this. */
  onRows(rows: TableRows): void;
  /** Addresses of the other proxies that run. */
  addresses(): readonly string[];
  /** Proxies that run, this one included; undefined before any rows. */
  count(): number | undefined;
  stop(): void;
}

/**
 * Period of writes. At 3,100 proxies they are 310 a second, within what the
 * platform carries; a shorter one buys little, as shares change seldom.
 */
const WRITE_PERIOD: Milliseconds = 10_000;
const PERIOD_JITTER = 0.2;
/** A row that stood still for two periods and a bit is of a dead proxy. */
const EXPIRY: Milliseconds = 25_000;
const RETRY_PAUSE: Milliseconds = 400;

const presenceSchema = z.object({address: z.string()});

interface Seen {
  readonly version: number;
  readonly address: string;
  readonly seenAt: Milliseconds;
}

/** Starts to write this proxy's row and to follow the others'. */
export function startStorePresence(
  options: StorePresenceOptions,
): StorePresence {
  const {runtime, store, table} = options;
  const self = PRESENCE_PREFIX + options.self;
  const {timer, random} = runtime;
  const seen = new Map<string, Seen>();
  let ownVersion = 0;
  let hasRows = false;

  function onRows(rows: TableRows): void {
    hasRows = true;
    for (const [key, {version, value}] of rows) {
      if (!key.startsWith(PRESENCE_PREFIX)) {
        continue;
      }
      if (seen.get(key)?.version !== version) {
        const parsed = presenceSchema.safeParse(value);
        const address = parsed.success ? parsed.data.address : '';
        seen.set(key, {version, address, seenAt: timer.now()});
      }
    }
    for (const key of [...seen.keys()]) {
      if (!rows.has(key)) {
        seen.delete(key);
      }
    }
    ownVersion = rows.get(self)?.version ?? 0;
  }

  function* announce(): Task<void> {
    for (;;) {
      if (hasRows) {
        const value = {address: options.address};
        const written = yield* waitFor(
          store.replaceRow(table, self, ownVersion, value),
        );
        if (written.ok) {
          ownVersion = written.val;
          yield* sleep(random.jitter(WRITE_PERIOD, PERIOD_JITTER));
          continue;
        }
      }
      yield* sleep(random.jitter(RETRY_PAUSE, PERIOD_JITTER));
    }
  }

  const task: TaskHandle<void> = runtime.spawn('presence', announce());

  function isLive({seenAt}: Seen): boolean {
    return timer.now() - seenAt < EXPIRY;
  }

  function liveOthers(): Seen[] {
    return [...seen]
      .filter(([key, entry]) => key !== self && isLive(entry))
      .map(([, entry]) => entry);
  }

  return {
    onRows,
    addresses: () =>
      liveOthers()
        .map(({address}) => address)
        .filter(address => address !== ''),
    count() {
      if (!hasRows) {
        return undefined;
      }
      return liveOthers().length + 1;
    },
    stop: task.cancel,
  };
}
