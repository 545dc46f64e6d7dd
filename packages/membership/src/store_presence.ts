/**
 * Tells other proxies through the platform's store that this one runs, and
 * knows who else does: their number sets each proxy's share of a target's
 * connections, and statements may be sent through them.
 */
import type {TableChanges, TableFollower, TableStore} from '@kelpstep/platform';
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
  /** Table of the proxies' own rows, and of nothing else. */
  readonly table: string;
  readonly self: PresentProxy;
}

/** Presence of this proxy and of the others. */
export interface StorePresence {
  /** Addresses of the other proxies that run. */
  addresses(): readonly string[];
  /**
   * Proxies that run, this one included. The same array as long as they are the
   * same. Undefined until a moment after this proxy's own row was written: then
   * those of all that start with it are there too.
   */
  live(): readonly PresentProxy[] | undefined;
  /** The rows as other proxies may ask for them, and hand them to this one. */
  readonly follower: TableFollower;
}

/**
 * Period of writes and reads. Followed by a feed, each write would wake all
 * proxies: of 74, that made 470 calls of the store a second. At 3,100 proxies
 * the writes are 310 a second.
 */
const PERIOD: Milliseconds = 10_000;
const PERIOD_JITTER = 0.2;
/**
 * A row that stood still for so long is of a dead proxy: a period of its writes
 * and one of the reads, each with its jitter, and a retry.
 */
const EXPIRY: Milliseconds = 27_000;
/** After the first write: proxies that start at the same time have written. */
const FIRST_PAUSE: Milliseconds = 400;
const RETRY_PAUSE: Milliseconds = 400;

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
  let known: TableChanges | undefined;
  let isRead = false;

  /** Rows age by what was read: while nothing is, none of them expires. */
  function takeRows(changes: TableChanges): void {
    const now = timer.now();
    const rows = changes.rows.filter(({isRemoved}) => !isRemoved);
    known = {rows, version: changes.version};
    const keys = new Set(rows.map(({key}) => key));
    for (const {key, version, value} of rows) {
      if (seen.get(key)?.version !== version) {
        const name = key.slice(PRESENCE_PREFIX.length);
        const present = readPresence(name, value);
        seen.set(key, {version, present, seenAt: now});
      }
    }
    for (const [key, {seenAt}] of seen) {
      if (!keys.has(key) || now - seenAt > EXPIRY) {
        seen.delete(key);
      }
    }
    ownVersion = seen.get(self)?.version ?? 0;
  }

  function updateLive(): void {
    const others = [...seen]
      .filter(([key]) => key !== self)
      .map(([, {present}]) => present);
    const next = [options.self, ...others];
    const isUnchanged =
      next.length === live?.length &&
      next.every((present, index) => isSame(present, live?.[index]));
    live = isUnchanged ? live : next;
  }

  function* read(): Task<boolean> {
    const answer = yield* waitFor(store.readTable(table));
    isRead = answer.ok;
    if (answer.ok) {
      takeRows(answer.val);
    }
    return answer.ok;
  }

  function* write(): Task<boolean> {
    const written = yield* waitFor(
      store.replaceRow(table, self, ownVersion, ownValue),
    );
    if (written.ok) {
      ownVersion = written.val;
    }
    return written.ok;
  }

  /**
   * Reads first: with a row from an earlier life the others' rows are there too,
   * so that connections are taken up at once.
   */
  function* keepPresent(): Task<void> {
    for (;;) {
      const hasRead = yield* read();
      if (hasRead && ownVersion > 0) {
        updateLive();
      }
      if (!hasRead || !(yield* write())) {
        yield* sleep(random.jitter(RETRY_PAUSE, PERIOD_JITTER));
        continue;
      }
      if (live === undefined) {
        yield* sleep(FIRST_PAUSE);
        yield* read();
      }
      updateLive();
      yield* sleep(random.jitter(PERIOD, PERIOD_JITTER));
    }
  }

  /** What a peer has read, while the store refuses this proxy. */
  function offer(changes: TableChanges): boolean {
    if (isRead || changes.version <= (known?.version ?? -1)) {
      return false;
    }
    takeRows(changes);
    updateLive();
    return true;
  }

  const task: TaskHandle<void> = runtime.spawn('presence', keepPresent());

  return {
    addresses: () =>
      (live ?? [])
        .map(({address}) => address)
        .filter(address => address !== '' && address !== options.self.address),
    live: () => live,
    follower: {
      isFollowing: () => isRead,
      known: () => known,
      offer,
      stop: task.cancel,
    },
  };
}
