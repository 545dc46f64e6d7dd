/**
 * Token buckets of client accounts, filled in proportion to the share of all
 * quotas that is leased to this proxy. Does no I/O; `now` is always the
 * monotonic time of this process.
 *
 * Load pattern: one account sends many times its quota through all proxies
 * during a network partition. In any time span, a pool grants at most the burst
 * plus the rate over the span, multiplied by the leased share, apart from the
 * start allowance and rounding up to one operation.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import type {QuotaLimit} from './account_directory';
import {type HeadroomHistory, createHeadroomHistory} from './headroom_history';
import {type PriorityReserve, createPriorityReserve} from './priority_reserve';
import type {QuotaAnswer, VersionedLimit} from './quota_messages';

/** The share of all quotas that one proxy leases to this proxy. */
export interface LeasedShare {
  /** Name of the proxy that grants the lease. */
  readonly lender: string;
  /** The share, from 0 to 1. */
  readonly part: number;
  /** Time at which the lease expires. */
  readonly until: Milliseconds;
  /** Id of the lender's process; set until its first lease is granted. */
  readonly startOf?: string | undefined;
}

/** Buckets of all accounts; the newest known limit of an account applies. */
export interface QuotaPool {
  addLease(lease: LeasedShare, now: Milliseconds): void;
  /** Share of all quotas that is leased now, from 0 to 1. */
  leasedShare(now: Milliseconds): number;
  /**
   * Grants and counts one operation, or refuses it. Tokens that operations of
   * higher priority are expected to need are kept for them. Priority 0, the
   * default, is the highest.
   */
  take(
    limit: VersionedLimit,
    now: Milliseconds,
    priority?: number,
  ): QuotaAnswer;
  /** Counts operations that ran without being granted. */
  charge(limit: VersionedLimit, count: number, now: Milliseconds): void;
  /**
   * Returns operations that were granted at `grantedAt` and did not run. Tokens
   * that would have exceeded the burst since the grant are not restored. False
   * if nothing is restored.
   */
  giveBack(
    limit: VersionedLimit,
    count: number,
    grantedAt: Milliseconds,
    now: Milliseconds,
  ): boolean;
  /** Drops all leases and buckets; to be called after a process suspension. */
  reset(now: Milliseconds): void;
}

interface Lease {
  readonly part: number;
  readonly until: Milliseconds;
}

interface Bucket {
  limit: VersionedLimit;
  /** Operations that may run now; negative after granting or charging more. */
  tokens: number;
  /** `leasedTime` at the last refill. */
  refilledAt: number;
  /** `startedShares` at the last refill. */
  startedShares: number;
  /** Time at which the last refused caller is to retry, by priority. */
  readonly lastRetryAt: Map<number, Milliseconds>;
  readonly reserve: PriorityReserve;
  readonly headroom: HeadroomHistory;
}

/** Longest retry delay, because the quota may be raised meanwhile. */
export const MAXIMUM_RETRY_AFTER_MS: Milliseconds = 2000;
/** Shortest retry delay: an earlier retry costs more than it can gain. */
const MINIMUM_RETRY_AFTER_MS: Milliseconds = 50;
const SECOND_MS: Milliseconds = 1000;

export interface QuotaPoolOptions {
  /**
   * Operations allowed beyond an account's limit when all proxies start at once
   * and their callers return together. Each starting process adds its share of
   * this allowance once.
   */
  startAllowance(limit: QuotaLimit): number;
}

/** Creates a pool without leases, which refuses all operations. */
export function createQuotaPool(options: QuotaPoolOptions): QuotaPool {
  const leases = new Map<string, Lease>();
  const startedProcesses = new Map<string, string>();
  const buckets = new Map<string, Bucket>();
  let leasedShare = 0;
  /** Integral of the leased share over time, in milliseconds. */
  let leasedTime = 0;
  /** Sum of the shares of processes that started. */
  let startedShares = 0;
  let accruedUntil: Milliseconds = -Infinity;
  let nextExpiry: Milliseconds = Infinity;

  function accrueLeasedTime(until: Milliseconds): void {
    if (Number.isFinite(accruedUntil)) {
      leasedTime += leasedShare * Math.max(0, until - accruedUntil);
    }
    accruedUntil = Math.max(accruedUntil, until);
  }

  function updateLeasedShare(): void {
    let sum = 0;
    nextExpiry = Infinity;
    for (const {part, until} of leases.values()) {
      sum += part;
      nextExpiry = Math.min(nextExpiry, until);
    }
    if (sum !== leasedShare) {
      // The buckets are refilled before and after the change: saved tokens are
      // bounded by both shares, because the remainder may be saved by another
      // coordinator.
      buckets.forEach(refill);
      leasedShare = sum;
      buckets.forEach(refill);
    }
  }

  function expireLeases(): void {
    for (const [lender, {until}] of leases) {
      if (until <= nextExpiry) {
        leases.delete(lender);
      }
    }
    updateLeasedShare();
  }

  function advance(now: Milliseconds): void {
    while (nextExpiry <= now) {
      accrueLeasedTime(nextExpiry);
      expireLeases();
    }
    accrueLeasedTime(now);
  }

  function headroomOf({limit, tokens}: Bucket): number {
    return limit.burst * leasedShare - tokens;
  }

  function recordHeadroom(bucket: Bucket): void {
    bucket.headroom.record(headroomOf(bucket), accruedUntil);
  }

  function refill(bucket: Bucket): void {
    const {rate, burst} = bucket.limit;
    const accrued = (rate * (leasedTime - bucket.refilledAt)) / SECOND_MS;
    const started = startedShares - bucket.startedShares;
    const allowed = started * options.startAllowance(bucket.limit);
    const tokens = bucket.tokens + accrued + allowed;
    bucket.tokens = Math.min(burst * leasedShare, tokens);
    recordHeadroom(bucket);
    bucket.refilledAt = leasedTime;
    bucket.startedShares = startedShares;
  }

  function recordStart({lender, part, startOf}: LeasedShare): void {
    if (startOf !== undefined && startedProcesses.get(lender) !== startOf) {
      startedProcesses.set(lender, startOf);
      startedShares += part;
    }
  }

  /**
   * Adds the difference to a higher burst at once; cuts saved tokens to a lower
   * burst.
   */
  function applyLimit(bucket: Bucket, limit: VersionedLimit): void {
    const added = Math.max(0, limit.burst - bucket.limit.burst) * leasedShare;
    bucket.tokens = Math.min(limit.burst * leasedShare, bucket.tokens + added);
    bucket.limit = limit;
    recordHeadroom(bucket);
  }

  function bucketOf(limit: VersionedLimit): Bucket {
    const {account} = limit;
    const bucket = buckets.get(account) ?? {
      limit,
      tokens: 0,
      refilledAt: 0,
      startedShares: 0,
      lastRetryAt: new Map<number, Milliseconds>(),
      reserve: createPriorityReserve(),
      headroom: createHeadroomHistory(),
    };
    buckets.set(account, bucket);
    refill(bucket);
    if (limit.version > bucket.limit.version) {
      applyLimit(bucket, limit);
    }
    return bucket;
  }

  /**
   * Refuses an operation. The retry times of successive refused callers of one
   * priority are one token apart, at the rate that higher priorities leave.
   */
  function refuse(
    bucket: Bucket,
    missing: number,
    priority: number,
    now: Milliseconds,
  ): QuotaAnswer {
    const higherRate = bucket.reserve.higherRate(priority, now);
    const rate = bucket.limit.rate * leasedShare - higherRate;
    if (rate <= 0) {
      return {kind: 'refused', retryAfter: MAXIMUM_RETRY_AFTER_MS};
    }
    const tokenTime = SECOND_MS / rate;
    const previous = Math.max(
      bucket.lastRetryAt.get(priority) ?? -Infinity,
      now + missing * tokenTime,
      now + MINIMUM_RETRY_AFTER_MS - tokenTime,
    );
    const retryAt = Math.min(
      previous + tokenTime,
      now + MAXIMUM_RETRY_AFTER_MS,
    );
    bucket.lastRetryAt.set(priority, retryAt);
    return {kind: 'refused', retryAfter: retryAt - now};
  }

  return {
    addLease(lease, now) {
      const {lender, part, until} = lease;
      advance(now);
      leases.set(lender, {part, until});
      updateLeasedShare();
      recordStart(lease);
    },
    leasedShare(now) {
      advance(now);
      return leasedShare;
    },
    take(limit, now, priority = 0) {
      advance(now);
      const bucket = bucketOf(limit);
      const capacity = bucket.limit.burst * leasedShare;
      bucket.reserve.recordArrival(priority, now);
      const kept = bucket.reserve.reserveFor(priority, capacity, now);
      // A fraction of a token counts as one, or small shares would grant
      // nothing.
      if (bucket.tokens <= kept) {
        return refuse(bucket, kept - bucket.tokens, priority, now);
      }
      bucket.tokens -= 1;
      return {kind: 'granted'};
    },
    charge(limit, charged, now) {
      advance(now);
      bucketOf(limit).tokens -= charged;
    },
    giveBack(limit, count, grantedAt, now) {
      advance(now);
      const bucket = bucketOf(limit);
      const missing = Math.min(count, headroomOf(bucket));
      const restored = bucket.headroom.restore(missing, grantedAt, now);
      bucket.tokens += restored;
      return restored > 0;
    },
    reset(now) {
      leases.clear();
      buckets.clear();
      updateLeasedShare();
      leasedTime = 0;
      startedShares = 0;
      accruedUntil = now;
    },
  };
}
