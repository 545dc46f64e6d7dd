/**
 * Decides where a proxy takes the tables from, and which slots of distributors
 * are free. Without input and output.
 *
 * Load pattern: all proxies start at once, or lose their distributors or the
 * store at once. Each then needs the tables soon, and the store must not be asked
 * by all of them at the same moment.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import {
  type DistributorRow,
  type PresentProxy,
  SLOTS_PER_DATA_CENTRE,
} from './distributor_row';

/**
 * Staleness up to which news count as fresh. Beyond it another source is asked,
 * with enough of the promised time left for an answer.
 */
export const FRESH_UP_TO = 0.75;
/** Proxies that hear nothing fresh ask the store one after another. */
const FRESH_SPREAD = 0.15;
/** A proxy that starts waits so much for its peers, for each proxy that runs. */
const START_PATIENCE_PER_PROXY: Milliseconds = 0.5;
/** Time until a proxy of a whole new system gives up its seeds. */
const FIRST_DISTRIBUTORS_WITHIN: Milliseconds = 400;
/** Distributors elsewhere are asked if those of the own data centre are staler. */
const FRESH_AT_HOME_UP_TO = 0.66;
/** A proxy that starts waits so long for the distributors of its data centre. */
const FIRST_NEWS_WITHIN: Milliseconds = 2000;
/** A proxy that can't learn the distributors from the store asks others. */
const UNKNOWN_PATIENCE: Milliseconds = 250;
/** A distributor that isn't heard for so long has failed, or this proxy is cut. */
const SILENT_SLOT: Milliseconds = 2000;
/** A slot whose distributor has no news for so long is given to another proxy. */
const STALE_SLOT: Milliseconds = 10_000;

/** What a proxy knows of its sources. */
export interface SourceView {
  /** Staleness of the newest news from other proxies; `Infinity` without any. */
  readonly staleness: number;
  /** The same for the distributors of the own data centre, of which it may be one. */
  readonly homeStaleness: number;
  /** False while the own data centre has no distributor. */
  readonly hasHome: boolean;
  /** Time since this proxy started. */
  readonly uptime: Milliseconds;
  readonly isDistributor: boolean;
  /** Number of proxies that run; undefined while the table isn't known. */
  readonly proxies: number | undefined;
  /** True if other proxies are told of this one before they know any. */
  readonly isSeed: boolean;
  /** From 0 to 1, drawn once for each wait: spreads what all would do at once. */
  readonly spread: number;
}

/** True if this proxy asks the store itself. */
export function followsStore(view: SourceView): boolean {
  const {staleness, uptime, isDistributor, isSeed, proxies, spread} = view;
  if (isDistributor || (isSeed && proxies === 1)) {
    return true;
  }
  if (Number.isFinite(staleness)) {
    return staleness > FRESH_UP_TO + FRESH_SPREAD * spread;
  }
  return proxies !== undefined && uptime > startPatience(view);
}

/** How long a proxy that starts waits for its peers before it asks the store. */
export function startPatience({
  proxies = 1,
  isSeed,
  spread,
}: SourceView): Milliseconds {
  if (proxies > 1) {
    return proxies * START_PATIENCE_PER_PROXY * spread;
  }
  // The whole system starts for the first time: all ask the seeds.
  return isSeed ? 0 : FIRST_DISTRIBUTORS_WITHIN * (1 + spread);
}

/** True if this proxy subscribes to one that is no distributor of its own. */
export function needsDistantSource(view: SourceView): boolean {
  const {homeStaleness, hasHome, uptime, proxies} = view;
  if (proxies === undefined) {
    return uptime > UNKNOWN_PATIENCE;
  }
  if (!hasHome) {
    return true;
  }
  return Number.isFinite(homeStaleness)
    ? homeStaleness > FRESH_AT_HOME_UP_TO
    : uptime > FIRST_NEWS_WITHIN;
}

/** What is known of the slots of a data centre. */
export interface SlotView {
  readonly self: string;
  /** Rows of the own data centre. */
  readonly rows: readonly DistributorRow[];
  /** True if the rows are known to be new. */
  readonly areRowsFresh: boolean;
  /** True if another proxy gives fresh news: this one isn't cut off. */
  readonly hearsOthers: boolean;
  /** How long the distributor at an address hasn't given fresh news. */
  silence(address: string): Milliseconds;
}

/** The row of this proxy; undefined if it is no distributor. */
export function rowOf(
  self: string,
  rows: readonly DistributorRow[],
): DistributorRow | undefined {
  return rows.find(({distributor}) => distributor.proxy === self);
}

/** A slot that this proxy may take; undefined if there is none. */
export function findFreeSlot(view: SlotView): number | undefined {
  const {rows} = view;
  if (!view.areRowsFresh || rowOf(view.self, rows) !== undefined) {
    return undefined;
  }
  for (let slot = 0; slot < SLOTS_PER_DATA_CENTRE; slot++) {
    const row = rows.find(candidate => candidate.slot === slot);
    const others = rows.filter(candidate => candidate !== row);
    if (row === undefined || isGone(row, others, view)) {
      return slot;
    }
  }
  return undefined;
}

function isGone(
  {distributor}: DistributorRow,
  others: readonly DistributorRow[],
  view: SlotView,
): boolean {
  const isSilent = ({address}: PresentProxy) =>
    view.silence(address) > SILENT_SLOT;
  // A proxy that is cut off must not take the slots of those that it can't hear.
  if (!view.hearsOthers || !isSilent(distributor)) {
    return false;
  }
  const isHeardByOther = others.some(
    row =>
      !isSilent(row.distributor) &&
      row.subscribers.some(({proxy}) => proxy === distributor.proxy),
  );
  return !isHeardByOther || view.silence(distributor.address) > STALE_SLOT;
}
