/**
 * Claims a free distributor slot of this data centre and maintains its row,
 * which lists the subscribers of this proxy.
 */
import type {
  RowWriter,
  StoreFailure,
  StorePosition,
  TableStore,
} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import {findFreeSlot, rowOf} from './choose_sources';
import {
  type DistributorRow,
  type DistributorValue,
  type ProxyDescriptor,
  areSameProxies,
  isSameProxy,
  slotKey,
} from './distributor_row';
import {ROW_RENEWAL_PERIOD_MS} from './proxy_directory';
import {createRecentMaximum} from './recent_maximum';
import type {TableCopy} from './table_copy';

export interface DistributorRoleOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  readonly rowWriter: RowWriter;
  readonly self: ProxyDescriptor;
  /** Relative capacity: proxies with a higher one claim a free slot sooner. */
  readonly capacity: number;
  /** Copy of the distributor table. */
  readonly copy: TableCopy;
  /** Rows of this data centre. */
  rows(): readonly DistributorRow[];
  /** Proxies that are subscribed to this one. */
  subscribers(): readonly ProxyDescriptor[];
  /** True if all table copies are fresh. */
  isFresh(): boolean;
  /** True if another proxy sends fresh updates. */
  receivesFreshUpdates(): boolean;
  /** Time since the distributor at an address last was fresh. */
  timeSinceFresh(address: string): Milliseconds;
}

export interface DistributorRole {
  /** Slot that this proxy holds; undefined if it is not a distributor. */
  slot(): number | undefined;
}

const CHECK_PERIOD_MS: Milliseconds = 100;
const PERIOD_JITTER_RATIO = 0.3;
/**
 * Range over which a data centre's proxies spread their claims for a free slot,
 * so that all but the first learn in time that it is taken.
 */
const CLAIM_SPREAD_MS: Milliseconds = 250;
/** Time within which the copy shows a slot that was just claimed. */
const CLAIM_CONFIRMATION_TIMEOUT_MS: Milliseconds = 2000;
/**
 * Time within which subscribers of the slot's previous owner subscribe again.
 */
const TAKEOVER_PERIOD_MS: Milliseconds = 3000;
/**
 * Interval of writes, which batches the subscriptions of proxies that start
 * together.
 */
const WRITE_INTERVAL_MS: Milliseconds = 1000;
/**
 * Delay after the first write of a row, so that first subscribers are listed
 * soon.
 */
const FIRST_WRITE_INTERVAL_MS: Milliseconds = 100;
/** Delay after a write that conflicts with a newer version of the row. */
const CONFLICT_BACKOFF_MS: Milliseconds = 300;
/** Delay after a write without a reply, which may still take effect. */
const UNANSWERED_BACKOFF_MS: Milliseconds = 1500;

/**
 * Time for which lost proxies still count: they may be partitioned and keep
 * using their share of common quotas.
 */
const LOST_PROXY_RETENTION_MS: Milliseconds = 600_000;

interface Claim {
  readonly slot: number;
  readonly at: Milliseconds;
}

/** Starts to check for free slots and to maintain the row of a held slot. */
export function startDistributorRole(
  options: DistributorRoleOptions,
): DistributorRole {
  const {runtime, store, self, copy} = options;
  const {timer, random} = runtime;
  let claim: Claim | undefined;
  let claimAt: Milliseconds | undefined;
  let heldSince: Milliseconds | undefined;
  let previousSubscribers: readonly ProxyDescriptor[] = [];
  const recentMaximum = createRecentMaximum(timer, LOST_PROXY_RETENTION_MS);
  let nextWriteAt = -Infinity;
  let renewAt = Infinity;

  function slot(): number | undefined {
    const isNew =
      claim !== undefined &&
      timer.now() - claim.at < CLAIM_CONFIRMATION_TIMEOUT_MS;
    return (
      rowOf(self.proxy, options.rows())?.slot ??
      (isNew ? claim?.slot : undefined)
    );
  }

  /**
   * An empty table counts as fresh: it is read again before a slot is claimed.
   */
  function areRowsFresh(): boolean {
    const isEmpty =
      copy.position() !== undefined && options.rows().length === 0;
    return options.isFresh() || isEmpty;
  }

  function findSlotToClaim(): number | undefined {
    return findFreeSlot({
      self: self.proxy,
      rows: options.rows(),
      areRowsFresh: areRowsFresh(),
      receivesFreshUpdates: options.receivesFreshUpdates(),
      timeSinceFresh: options.timeSinceFresh,
    });
  }

  function delayAfter(
    written: Result<StorePosition, StoreFailure>,
    version: number,
  ): Milliseconds {
    if (written.ok) {
      return version === 0 ? FIRST_WRITE_INTERVAL_MS : WRITE_INTERVAL_MS;
    }
    return written.val === 'conflict'
      ? CONFLICT_BACKOFF_MS
      : UNANSWERED_BACKOFF_MS;
  }

  function* write(slotNumber: number, value: DistributorValue): Task<boolean> {
    const key = slotKey(self.dataCentre, slotNumber);
    const era = copy.position()?.era ?? 0;
    const version = copy.rows().get(key)?.version ?? 0;
    const written = yield* waitFor(
      options.rowWriter.replaceRow(copy.table, key, {era, version}, value),
    );
    nextWriteAt = timer.now() + delayAfter(written, version);
    return written.ok;
  }

  function* refresh(): Task<boolean> {
    const read = yield* waitFor(store.readTable(copy.table));
    if (read.ok) {
      copy.take({table: copy.table, ...read.val});
    }
    return read.ok;
  }

  function* claimIfFree(): Task<void> {
    const now = timer.now();
    if (now < nextWriteAt || findSlotToClaim() === undefined) {
      claimAt = undefined;
      return;
    }
    claimAt ??= now + (CLAIM_SPREAD_MS * random.fraction()) / options.capacity;
    if (now < claimAt) {
      return;
    }
    claimAt = undefined;
    if (!options.isFresh() && !(yield* refresh())) {
      nextWriteAt = timer.now() + UNANSWERED_BACKOFF_MS;
      return;
    }
    const free = findSlotToClaim();
    if (free === undefined) {
      return;
    }
    const before = options.rows().find(row => row.slot === free);
    const {subscribers = [], most = 1} = before ?? {};
    if (yield* write(free, {distributor: self, subscribers, most})) {
      claim = {slot: free, at: timer.now()};
    }
  }

  /**
   * Subscribers of this proxy and, during a takeover, of the slot's previous
   * owner.
   */
  function currentSubscribers(): readonly ProxyDescriptor[] {
    const isTakingOver =
      timer.now() - (heldSince ?? timer.now()) < TAKEOVER_PERIOD_MS;
    const proxies = new Map(
      [
        ...(isTakingOver ? previousSubscribers : []),
        ...options.subscribers(),
      ].map(proxy => [proxy.proxy, proxy]),
    );
    proxies.delete(self.proxy);
    return [...proxies.values()].sort((left, right) =>
      left.proxy < right.proxy ? -1 : 1,
    );
  }

  function* maintainRow(row: DistributorRow): Task<void> {
    if (heldSince === undefined) {
      heldSince = timer.now();
      previousSubscribers = row.subscribers;
      recentMaximum.recordValue(row.most);
      renewAt =
        timer.now() + random.jitter(ROW_RENEWAL_PERIOD_MS, PERIOD_JITTER_RATIO);
    }
    const subscribers = currentSubscribers();
    const recentMost = recentMaximum.recordValue(subscribers.length + 1);
    const isChanged =
      recentMost !== row.most ||
      !isSameProxy(self, row.distributor) ||
      !areSameProxies(subscribers, row.subscribers);
    const now = timer.now();
    if (now >= nextWriteAt && (isChanged || now >= renewAt)) {
      renewAt = now + random.jitter(ROW_RENEWAL_PERIOD_MS, PERIOD_JITTER_RATIO);
      const value = {distributor: self, subscribers, most: recentMost};
      yield* write(row.slot, value);
    }
  }

  function* maintainRole(): Task<void> {
    for (;;) {
      yield* sleep(random.jitter(CHECK_PERIOD_MS, PERIOD_JITTER_RATIO));
      const own = rowOf(self.proxy, options.rows());
      if (own !== undefined) {
        yield* maintainRow(own);
      } else {
        heldSince = undefined;
        yield* claimIfFree();
      }
    }
  }

  runtime.spawn('distributor duty', maintainRole());
  return {slot};
}
