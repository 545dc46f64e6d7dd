/** The running proxies according to the distributor rows. */
import type {StorePosition, TableRows} from '@kelpstep/platform';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

import {
  type DistributorRow,
  type ProxyDescriptor,
  areSameProxies,
  countRecentProxies,
  listProxiesByName,
  readDistributorRows,
  slotKey,
} from './distributor_row';

/** Distributor rows and the proxies that they list. */
export interface ProxyDirectory {
  /** Replaces the rows; called after each change of the table. */
  updateRows(rows: TableRows, position: StorePosition): void;
  rows(): readonly DistributorRow[];
  /** All distributors, in the same order on every proxy. */
  distributors(): readonly ProxyDescriptor[];
  /** Proxies that are known to be running, including this one. */
  listed(): readonly ProxyDescriptor[];
  /**
   * Running proxies, including this one; the same array until they change. The
   * result is undefined until this proxy is listed, because proxies that start
   * with it are then listed too, or until it has waited for that longer than
   * `LISTING_TIMEOUT_MS` after the first rows.
   */
  live(): readonly ProxyDescriptor[] | undefined;
  /**
   * Number of running and recently lost proxies; undefined while `live` returns
   * undefined.
   */
  fleetSize(): number | undefined;
}

export interface ProxyDirectoryOptions {
  readonly timer: TimerService;
  readonly self: ProxyDescriptor;
}

/** Average interval at which distributors renew unchanged rows. */
export const ROW_RENEWAL_PERIOD_MS: Milliseconds = 300_000;
/** A row that hasn't changed for this long belongs to a removed data centre. */
const ROW_EXPIRY_MS: Milliseconds = 2.4 * ROW_RENEWAL_PERIOD_MS;
/**
 * Time within which the distributors write their rows again after the store was
 * restored from a copy.
 */
const RESTORE_GRACE_MS: Milliseconds = 3000;
/** Time within which a distributor lists a starting proxy. */
const LISTING_TIMEOUT_MS: Milliseconds = 1500;

interface ObservedVersion extends StorePosition {
  readonly at: Milliseconds;
}

function bySlot(left: DistributorRow, right: DistributorRow): number {
  const byDataCentre = left.dataCentre < right.dataCentre ? -1 : 1;
  return left.slot - right.slot || byDataCentre;
}

/** Creates a directory that lists only this proxy. */
export function createProxyDirectory(
  options: ProxyDirectoryOptions,
): ProxyDirectory {
  const {timer, self} = options;
  const observedVersions = new Map<string, ObservedVersion>();
  let rows: readonly DistributorRow[] = [];
  let distributors: readonly ProxyDescriptor[] = [];
  let list: readonly ProxyDescriptor[] = [self];
  let isListed = false;
  let knownSince: Milliseconds | undefined;
  let knownEra: number | undefined;
  /** Fleet size before the store was restored, and how long it counts. */
  let sizeBefore = 0;
  let sizeBeforeUntil: Milliseconds = -Infinity;

  function isExpired(
    {dataCentre, slot, version}: DistributorRow,
    era: number,
  ): boolean {
    const key = slotKey(dataCentre, slot);
    const before = observedVersions.get(key);
    if (before?.version === version && before.era === era) {
      return timer.now() - before.at > ROW_EXPIRY_MS;
    }
    observedVersions.set(key, {era, version, at: timer.now()});
    return false;
  }

  /**
   * The rows of a restored store may list fewer proxies than run, which would
   * then use too large shares of common quotas.
   */
  function noteEra(era: number): void {
    if (knownEra !== undefined && era > knownEra) {
      sizeBefore = sizeNow();
      sizeBeforeUntil = timer.now() + RESTORE_GRACE_MS;
    }
    knownEra = era;
  }

  function sizeNow(): number {
    return Math.max(
      list.length,
      countRecentProxies(rows),
      timer.now() < sizeBeforeUntil ? sizeBefore : 0,
    );
  }

  function updateRows(tableRows: TableRows, {era}: StorePosition): void {
    knownSince ??= timer.now();
    noteEra(era);
    rows = readDistributorRows(tableRows).filter(row => !isExpired(row, era));
    distributors = [...rows].sort(bySlot).map(row => row.distributor);
    const proxiesByName = listProxiesByName(rows);
    isListed ||= proxiesByName.has(self.proxy);
    proxiesByName.delete(self.proxy);
    const next = [self, ...proxiesByName.values()];
    list = areSameProxies(next, list) ? list : next;
  }

  function isKnown(): boolean {
    const waited = timer.now() - (knownSince ?? timer.now());
    return isListed || waited > LISTING_TIMEOUT_MS;
  }

  return {
    updateRows,
    rows: () => rows,
    distributors: () => distributors,
    listed: () => list,
    live: () => (isKnown() ? list : undefined),
    fleetSize: () => (isKnown() ? sizeNow() : undefined),
  };
}
