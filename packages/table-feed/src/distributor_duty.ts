/**
 * Takes a slot of its data centre's distributors when one is free, and keeps its
 * row: who is subscribed to this proxy.
 */
import type {StoreFailure, TableStore} from '@kelpstep/platform';
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
  type PresentProxy,
  areSameProxies,
  isSameProxy,
  keyOfSlot,
} from './distributor_row';
import {RENEWAL_PERIOD} from './present_proxies';
import {createRecentMaximum} from './recent_maximum';
import type {TableCopy} from './table_copy';

/** What the duty is made of. */
export interface DistributorDutyOptions {
  readonly runtime: Runtime;
  readonly store: TableStore;
  readonly self: PresentProxy;
  /** Relative to others: those with more take a free slot sooner. */
  readonly capacity: number;
  /** Copy of the distributors' table. */
  readonly copy: TableCopy;
  /** Rows of the own data centre. */
  rows(): readonly DistributorRow[];
  /** Proxies that are subscribed to this one. */
  subscribers(): readonly PresentProxy[];
  /** True if the copy is current. */
  isFresh(): boolean;
  /** True if another proxy gives fresh news. */
  hearsOthers(): boolean;
  /** How long the distributor at an address hasn't given fresh news. */
  silence(address: string): Milliseconds;
}

/** Tells whether this proxy is a distributor. */
export interface DistributorDuty {
  slot(): number | undefined;
}

const DUTY_PERIOD: Milliseconds = 100;
const PERIOD_JITTER = 0.3;
/**
 * Those of a data centre that see a free slot try it at different moments, so
 * that all but the first see that it is taken.
 */
const CLAIM_SPREAD: Milliseconds = 250;
/** Until the store's feed tells of a slot that was just taken. */
const CLAIM_KNOWN_WITHIN: Milliseconds = 2000;
/** Subscribers of earlier holders of the slot have subscribed again by then. */
const TAKE_OVER_TIME: Milliseconds = 3000;
/** Proxies that start together come into one row. */
const WRITE_PAUSE: Milliseconds = 1000;
/** The same for the first that subscribe, so that they are soon known. */
const FIRST_WRITE_PAUSE: Milliseconds = 100;
/** After a write that was refused or came too late. */
const CONFLICT_PAUSE: Milliseconds = 300;
/** After a write without an answer: it may yet be done. */
const UNANSWERED_PAUSE: Milliseconds = 1500;

/**
 * Proxies that are lost may be cut off, and go on with their part of what all share,
 * for so long at most.
 */
const LOST_KEPT_FOR: Milliseconds = 600_000;

interface Claim {
  readonly slot: number;
  readonly at: Milliseconds;
}

/** Starts to look for free slots. */
export function startDistributorDuty(
  options: DistributorDutyOptions,
): DistributorDuty {
  const {runtime, store, self, copy} = options;
  const {timer, random} = runtime;
  let claim: Claim | undefined;
  let claimAt: Milliseconds | undefined;
  let heldSince: Milliseconds | undefined;
  let earlier: readonly PresentProxy[] = [];
  const most = createRecentMaximum(timer, LOST_KEPT_FOR);
  let nextWriteAt = -Infinity;
  let renewAt = Infinity;

  function slot(): number | undefined {
    const isNew =
      claim !== undefined && timer.now() - claim.at < CLAIM_KNOWN_WITHIN;
    return (
      rowOf(self.proxy, options.rows())?.slot ??
      (isNew ? claim?.slot : undefined)
    );
  }

  /** While there are no rows they are read before a slot is taken. */
  function areRowsFresh(): boolean {
    const isEmpty = copy.version() !== undefined && options.rows().length === 0;
    return options.isFresh() || isEmpty;
  }

  function freeSlot(): number | undefined {
    return findFreeSlot({
      self: self.proxy,
      rows: options.rows(),
      areRowsFresh: areRowsFresh(),
      hearsOthers: options.hearsOthers(),
      silence: options.silence,
    });
  }

  function pauseAfter(
    written: Result<number, StoreFailure>,
    version: number,
  ): Milliseconds {
    if (written.ok) {
      return version === 0 ? FIRST_WRITE_PAUSE : WRITE_PAUSE;
    }
    return written.val === 'conflict' ? CONFLICT_PAUSE : UNANSWERED_PAUSE;
  }

  function* write(number: number, value: DistributorValue): Task<boolean> {
    const key = keyOfSlot(self.dataCentre, number);
    const version = copy.rows().get(key)?.version ?? 0;
    const written = yield* waitFor(
      store.replaceRow(copy.table, key, version, value),
    );
    nextWriteAt = timer.now() + pauseAfter(written, version);
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
    if (now < nextWriteAt || freeSlot() === undefined) {
      claimAt = undefined;
      return;
    }
    claimAt ??= now + (CLAIM_SPREAD * random.fraction()) / options.capacity;
    if (now < claimAt) {
      return;
    }
    claimAt = undefined;
    if (!options.isFresh() && !(yield* refresh())) {
      nextWriteAt = timer.now() + UNANSWERED_PAUSE;
      return;
    }
    const free = freeSlot();
    if (free === undefined) {
      return;
    }
    const before = options.rows().find(row => row.slot === free);
    const {subscribers = [], most = 1} = before ?? {};
    if (yield* write(free, {distributor: self, subscribers, most})) {
      claim = {slot: free, at: timer.now()};
    }
  }

  /** Its subscribers; for a moment those of before, who are to come. */
  function present(): readonly PresentProxy[] {
    const isTakingOver =
      timer.now() - (heldSince ?? timer.now()) < TAKE_OVER_TIME;
    const proxies = new Map(
      [...(isTakingOver ? earlier : []), ...options.subscribers()].map(
        proxy => [proxy.proxy, proxy],
      ),
    );
    proxies.delete(self.proxy);
    return [...proxies.values()].sort((left, right) =>
      left.proxy < right.proxy ? -1 : 1,
    );
  }

  function* keepRow(row: DistributorRow): Task<void> {
    if (heldSince === undefined) {
      heldSince = timer.now();
      earlier = row.subscribers;
      most.note(row.most);
      renewAt = timer.now() + random.jitter(RENEWAL_PERIOD, PERIOD_JITTER);
    }
    const subscribers = present();
    const latelyMost = most.note(subscribers.length + 1);
    const isChanged =
      latelyMost !== row.most ||
      !isSameProxy(self, row.distributor) ||
      !areSameProxies(subscribers, row.subscribers);
    const now = timer.now();
    if (now >= nextWriteAt && (isChanged || now >= renewAt)) {
      renewAt = now + random.jitter(RENEWAL_PERIOD, PERIOD_JITTER);
      const value = {distributor: self, subscribers, most: latelyMost};
      yield* write(row.slot, value);
    }
  }

  function* keepDuty(): Task<void> {
    for (;;) {
      yield* sleep(random.jitter(DUTY_PERIOD, PERIOD_JITTER));
      const own = rowOf(self.proxy, options.rows());
      if (own !== undefined) {
        yield* keepRow(own);
      } else {
        heldSince = undefined;
        yield* claimIfFree();
      }
    }
  }

  runtime.spawn('distributor duty', keepDuty());
  return {slot};
}
