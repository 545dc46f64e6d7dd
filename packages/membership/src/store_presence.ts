/**
 * Tells other proxies through the platform's store that this one runs, and
 * knows who else does: their number sets each proxy's share of a target's
 * connections, and statements may be sent through them.
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

import type {PlacedProxy} from './rendezvous';

/** Start of the rows' keys; the proxy's name follows. */
export const PRESENCE_PREFIX = 'proxy/';

/** A proxy as it tells of itself. */
export interface PresentProxy extends PlacedProxy {
  /** Where others ask it for the store's tables; empty if they can't. */
  readonly address: string;
  /** Where others send it statements; empty if they can't. */
  readonly relayAddress: string;
}

/** What presence is made of. */
export interface StorePresenceOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  /** Table that the proxies share for their own rows. */
  readonly table: string;
  readonly self: PresentProxy;
}

/** Presence of this proxy and of the others. */
export interface StorePresence {
  /** Takes the table's rows, followed by who made this. */
  onRows(rows: TableRows): void;
  /** Addresses of the other proxies that run. */
  addresses(): readonly string[];
  /**
   * Proxies that run, this one included. The same array as long as they are the
   * same. Undefined before this proxy's own row is there: then those of all that
   * start with it are too, or on their way.
   */
  live(): readonly PresentProxy[] | undefined;
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

/** Period of the search for rows that stand still. */
const EXPIRY_CHECK: Milliseconds = 1000;

const presenceSchema = z.object({
  address: z.string(),
  dataCentre: z.string().default(''),
  relayAddress: z.string().default(''),
});

interface Seen {
  readonly version: number;
  readonly present: PresentProxy;
  readonly seenAt: Milliseconds;
}

function isSame(left: PresentProxy, right: PresentProxy | undefined): boolean {
  return (
    left.proxy === right?.proxy &&
    left.address === right.address &&
    left.relayAddress === right.relayAddress &&
    left.dataCentre === right.dataCentre
  );
}

/** A row that can't be read still counts: its proxy has connections. */
function readPresence(proxy: string, value: unknown): PresentProxy {
  const parsed = presenceSchema.safeParse(value);
  return parsed.success
    ? {proxy, ...parsed.data}
    : {proxy, address: '', dataCentre: '', relayAddress: ''};
}

/** Starts to write this proxy's row and to follow the others'. */
export function startStorePresence(
  options: StorePresenceOptions,
): StorePresence {
  const {runtime, store, table} = options;
  const {proxy: unusedName, ...ownValue} = options.self;
  const self = PRESENCE_PREFIX + options.self.proxy;
  const {timer, random} = runtime;
  const seen = new Map<string, Seen>();
  let live: readonly PresentProxy[] | undefined;
  let ownVersion = 0;
  let hasRows = false;

  function onRows(rows: TableRows): void {
    for (const [key, {version, value}] of rows) {
      if (!key.startsWith(PRESENCE_PREFIX)) {
        continue;
      }
      if (seen.get(key)?.version !== version) {
        const name = key.slice(PRESENCE_PREFIX.length);
        const present = readPresence(name, value);
        seen.set(key, {version, present, seenAt: timer.now()});
      }
    }
    for (const key of [...seen.keys()]) {
      if (!rows.has(key)) {
        seen.delete(key);
      }
    }
    ownVersion = rows.get(self)?.version ?? 0;
    hasRows = true;
    if (ownVersion > 0) {
      updateLive();
    }
  }

  function updateLive(): void {
    const others = [...seen]
      .filter(([key, entry]) => key !== self && isLive(entry))
      .map(([, {present}]) => present);
    const next = [options.self, ...others];
    const isUnchanged =
      next.length === live?.length &&
      next.every((present, index) => isSame(present, live?.[index]));
    live = isUnchanged ? live : next;
  }

  function* announce(): Task<void> {
    for (;;) {
      if (hasRows) {
        const written = yield* waitFor(
          store.replaceRow(table, self, ownVersion, ownValue),
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

  function isLive({seenAt}: Seen): boolean {
    return timer.now() - seenAt < EXPIRY;
  }

  function* checkExpiry(): Task<void> {
    for (;;) {
      yield* sleep(EXPIRY_CHECK);
      if (live !== undefined) {
        updateLive();
      }
    }
  }

  const task: TaskHandle<void> = runtime.spawn('presence', announce());
  const checks: TaskHandle<void> = runtime.spawn('expiry', checkExpiry());

  return {
    onRows,
    addresses: () =>
      (live ?? [])
        .map(({address}) => address)
        .filter(address => address !== '' && address !== options.self.address),
    live: () => live,
    stop() {
      task.cancel();
      checks.cancel();
    },
  };
}
