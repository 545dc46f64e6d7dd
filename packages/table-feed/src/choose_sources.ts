/**
 * Selects the sources of a proxy's table copies and the free distributor slots.
 * The functions perform no input or output.
 *
 * Load pattern: all proxies start, or lose their distributors or the store, at
 * the same time. Each needs the tables soon, but they must not all send
 * requests to the store at once.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import {
  type DistributorRow,
  type ProxyDescriptor,
  SLOTS_PER_DATA_CENTRE,
} from './distributor_row';

/**
 * Staleness up to which a source counts as fresh. Above it another source is
 * used, with enough of the staleness bound left for a reply.
 */
export const FRESHNESS_THRESHOLD_RATIO = 0.75;
/**
 * Range over which proxies without a fresh source spread their switch to the
 * store.
 */
const FRESHNESS_THRESHOLD_SPREAD_RATIO = 0.15;
/** Longest wait of a starting proxy for its peers, per running proxy. */
const STARTUP_DELAY_PER_PROXY_MS: Milliseconds = 0.5;
/** Shortest wait for the seeds when a whole new deployment starts. */
const FIRST_DISTRIBUTORS_TIMEOUT_MS: Milliseconds = 400;
/** Local staleness above which a fallback source is used. */
const LOCAL_FRESHNESS_THRESHOLD_RATIO = 0.66;
/** Time that a starting proxy waits for the distributors of its data centre. */
const FIRST_UPDATE_TIMEOUT_MS: Milliseconds = 2000;
/**
 * Longest wait for the store's distributor rows before other proxies are used
 * instead.
 */
const DISTRIBUTOR_LOOKUP_TIMEOUT_MS: Milliseconds = 250;
/**
 * Time without fresh updates from a distributor after which it has failed or
 * this proxy is partitioned.
 */
const UNRESPONSIVE_SLOT_TIMEOUT_MS: Milliseconds = 2000;
/**
 * Time without fresh updates from a distributor after which its slot is
 * reassigned even if another distributor lists it as a subscriber.
 */
const STALE_SLOT_TIMEOUT_MS: Milliseconds = 10_000;

/**
 * Known state of a proxy's sources. Staleness is the largest ratio of a table's
 * age to its staleness bound.
 */
export interface SourceView {
  /**
   * Staleness by the updates from other proxies; `Infinity` without updates.
   */
  readonly staleness: number;
  /** Staleness by the local distributors, of which this proxy may be one. */
  readonly localStaleness: number;
  /** False while this data centre has no distributor. */
  readonly hasLocalDistributor: boolean;
  /** Time since this proxy started. */
  readonly uptime: Milliseconds;
  readonly isDistributor: boolean;
  /**
   * Number of running proxies; undefined until the distributor rows are known.
   */
  readonly proxies: number | undefined;
  /** True if the address of this proxy is one of the seeds. */
  readonly isSeed: boolean;
  /**
   * Random number from 0 to 1 that spreads load; redrawn while updates are
   * fresh.
   */
  readonly spread: number;
}

/** True if this proxy should follow the store itself. */
export function shouldFollowStore(view: SourceView): boolean {
  const {staleness, uptime, isDistributor, isSeed, proxies, spread} = view;
  if (isDistributor || (isSeed && proxies === 1)) {
    return true;
  }
  if (Number.isFinite(staleness)) {
    return (
      staleness >
      FRESHNESS_THRESHOLD_RATIO + FRESHNESS_THRESHOLD_SPREAD_RATIO * spread
    );
  }
  return proxies !== undefined && uptime > startupDelay(view);
}

/**
 * Time that a starting proxy waits for its peers before it follows the store.
 */
export function startupDelay({
  proxies = 1,
  isSeed,
  spread,
}: SourceView): Milliseconds {
  if (proxies > 1) {
    return proxies * STARTUP_DELAY_PER_PROXY_MS * spread;
  }
  // On the first start of a deployment, all other proxies subscribe to the
  // seeds.
  return isSeed ? 0 : FIRST_DISTRIBUTORS_TIMEOUT_MS * (1 + spread);
}

/** True if this proxy needs a source besides the local distributors. */
export function needsFallbackSource(view: SourceView): boolean {
  const {localStaleness, hasLocalDistributor, uptime, proxies} = view;
  if (proxies === undefined) {
    return uptime > DISTRIBUTOR_LOOKUP_TIMEOUT_MS;
  }
  if (!hasLocalDistributor) {
    return true;
  }
  return Number.isFinite(localStaleness)
    ? localStaleness > LOCAL_FRESHNESS_THRESHOLD_RATIO
    : uptime > FIRST_UPDATE_TIMEOUT_MS;
}

/** Known state of the distributor slots of a data centre. */
export interface SlotView {
  readonly self: string;
  /** Rows of this data centre. */
  readonly rows: readonly DistributorRow[];
  /** True if the rows are known to be up to date. */
  readonly areRowsFresh: boolean;
  /**
   * True if another proxy sends fresh updates, so this one isn't partitioned.
   */
  readonly receivesFreshUpdates: boolean;
  /** Time since the distributor at an address last was fresh. */
  timeSinceFresh(address: string): Milliseconds;
}

/** The row of this proxy; undefined if it is not a distributor. */
export function rowOf(
  self: string,
  rows: readonly DistributorRow[],
): DistributorRow | undefined {
  return rows.find(({distributor}) => distributor.proxy === self);
}

/** A slot that this proxy may claim; undefined if there is none. */
export function findFreeSlot(view: SlotView): number | undefined {
  const {rows} = view;
  if (!view.areRowsFresh || rowOf(view.self, rows) !== undefined) {
    return undefined;
  }
  for (let slot = 0; slot < SLOTS_PER_DATA_CENTRE; slot++) {
    const row = rows.find(candidate => candidate.slot === slot);
    const others = rows.filter(candidate => candidate !== row);
    if (row === undefined || isReplaceable(row, others, view)) {
      return slot;
    }
  }
  return undefined;
}

function isReplaceable(
  {distributor}: DistributorRow,
  others: readonly DistributorRow[],
  view: SlotView,
): boolean {
  const isUnresponsive = ({address}: ProxyDescriptor) =>
    view.timeSinceFresh(address) > UNRESPONSIVE_SLOT_TIMEOUT_MS;
  // A partitioned proxy must not claim the slots of proxies that it can't
  // reach.
  if (!view.receivesFreshUpdates || !isUnresponsive(distributor)) {
    return false;
  }
  const isReportedByOther = others.some(
    row =>
      !isUnresponsive(row.distributor) &&
      row.subscribers.some(({proxy}) => proxy === distributor.proxy),
  );
  return (
    !isReportedByOther ||
    view.timeSinceFresh(distributor.address) > STALE_SLOT_TIMEOUT_MS
  );
}
