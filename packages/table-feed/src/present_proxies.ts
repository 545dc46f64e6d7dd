/** Which proxies run, by the rows of the distributors. */
import type {TableRows} from '@kelpstep/platform';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

import {
  type DistributorRow,
  type PresentProxy,
  areSameProxies,
  countLatelyPresent,
  keyOfSlot,
  listPresentProxies,
  readDistributorRows,
} from './distributor_row';

/** Rows of distributors, and the proxies that they tell of. */
export interface PresentProxies {
  /** Takes the rows after each change. */
  takeRows(rows: TableRows): void;
  rows(): readonly DistributorRow[];
  /** Those that hand the tables on, in the same order in every proxy's view. */
  distributors(): readonly PresentProxy[];
  /** Proxies that are known to run, this one included. */
  listed(): readonly PresentProxy[];
  /**
   * Proxies that run, this one included; the same array as long as they are the
   * same. Undefined until this one is listed, or has waited for that in vain:
   * then others that start with it are listed too.
   */
  live(): readonly PresentProxy[] | undefined;
  /**
   * How many run, with those that were lost lately; undefined as long as `live` is.
   */
  fleetSize(): number | undefined;
}

/** What it is made of. */
export interface PresentProxiesOptions {
  readonly timer: TimerService;
  readonly self: PresentProxy;
}

/** Distributors write their rows at least this often. */
export const RENEWAL_PERIOD: Milliseconds = 300_000;
/** A row that stood still for so long is of a data centre that has gone. */
const EXPIRY: Milliseconds = 2.4 * RENEWAL_PERIOD;
/** Time in which a proxy that starts is listed by its distributor. */
const LISTED_WITHIN: Milliseconds = 1500;

interface Seen {
  readonly version: number;
  readonly at: Milliseconds;
}

function bySlot(left: DistributorRow, right: DistributorRow): number {
  const byCentre = left.dataCentre < right.dataCentre ? -1 : 1;
  return left.slot - right.slot || byCentre;
}

/** Creates a list that knows no proxies. */
export function createPresentProxies(
  options: PresentProxiesOptions,
): PresentProxies {
  const {timer, self} = options;
  const seen = new Map<string, Seen>();
  let rows: readonly DistributorRow[] = [];
  let distributors: readonly PresentProxy[] = [];
  let list: readonly PresentProxy[] = [self];
  let isListed = false;
  let knownSince: Milliseconds | undefined;

  function isExpired({dataCentre, slot, version}: DistributorRow): boolean {
    const key = keyOfSlot(dataCentre, slot);
    const before = seen.get(key);
    if (before?.version === version) {
      return timer.now() - before.at > EXPIRY;
    }
    seen.set(key, {version, at: timer.now()});
    return false;
  }

  function takeRows(tableRows: TableRows): void {
    knownSince ??= timer.now();
    rows = readDistributorRows(tableRows).filter(row => !isExpired(row));
    distributors = [...rows].sort(bySlot).map(row => row.distributor);
    const present = listPresentProxies(rows);
    isListed ||= present.has(self.proxy);
    present.delete(self.proxy);
    const next = [self, ...present.values()];
    list = areSameProxies(next, list) ? list : next;
  }

  function isKnown(): boolean {
    const waited = timer.now() - (knownSince ?? timer.now());
    return isListed || waited > LISTED_WITHIN;
  }

  return {
    takeRows,
    rows: () => rows,
    distributors: () => distributors,
    listed: () => list,
    live: () => (isKnown() ? list : undefined),
    fleetSize: () =>
      isKnown() ? Math.max(list.length, countLatelyPresent(rows)) : undefined,
  };
}
