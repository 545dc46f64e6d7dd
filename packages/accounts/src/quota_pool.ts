/**
 * Counts what client accounts ask, against the part of their quotas that other
 * proxies have lent to this one. Without input and output; `now` is always the
 * monotonic time of this process.
 *
 * Load pattern: one account sends many times its quota through all proxies, while
 * some of them don't reach the others. What is granted in any span of time is at
 * most the burst and the rate over the span, times the lent part of the quota.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import type {QuotaLimit} from './account_directory';
import type {QuotaAnswer, VersionedLimit} from './quota_messages';

/** A proxy's part of all quotas, as it lends it. */
export interface LentPart {
  readonly lender: string;
  /** From 0 to 1. */
  readonly part: number;
  /** Time at which the loan ends. */
  readonly until: Milliseconds;
  /** Set if the lender's process has just started and lends for the first time. */
  readonly startOf?: string | undefined;
}

/** Counts for all accounts; of two limits of one account the newer is in force. */
export interface QuotaPool {
  lend(loan: LentPart, now: Milliseconds): void;
  /** Part of all quotas that is lent now. */
  lentPart(now: Milliseconds): number;
  /** Counts one operation if the account may have it run. */
  take(limit: VersionedLimit, now: Milliseconds): QuotaAnswer;
  /** Counts what has run beyond what was granted. */
  charge(limit: VersionedLimit, count: number, now: Milliseconds): void;
  /** Forgets all that was lent: the clock may have stood still. */
  reset(now: Milliseconds): void;
}

interface Loan {
  readonly part: number;
  readonly until: Milliseconds;
}

interface Bucket {
  limit: VersionedLimit;
  /** Operations that may run at once; below zero after one too many. */
  tokens: number;
  /** `lentTime` when the tokens were counted last. */
  countedAt: number;
  /** `startedParts` then. */
  startedParts: number;
  /** When the last caller that was refused is to come back. */
  promisedUntil: Milliseconds;
}

/** Callers aren't sent away for longer: the quota may be raised meanwhile. */
const LONGEST_RETRY_AFTER: Milliseconds = 2000;
const SECOND: Milliseconds = 1000;

/** What a pool is made of. */
export interface QuotaPoolOptions {
  /**
   * Operations that an account may have run beyond its limit when all proxies start
   * at once, and callers come back together. Each process that starts brings its part
   * of them, once.
   */
  startAllowance(limit: QuotaLimit): number;
}

/** Creates a pool to which nothing is lent. */
export function createQuotaPool(options: QuotaPoolOptions): QuotaPool {
  const loans = new Map<string, Loan>();
  const startedProcesses = new Map<string, string>();
  const buckets = new Map<string, Bucket>();
  let lentPart = 0;
  /** The lent part summed up over time. */
  let lentTime = 0;
  /** Parts of processes that started, summed up. */
  let startedParts = 0;
  let countedUntil: Milliseconds = -Infinity;
  let nextExpiry: Milliseconds = Infinity;

  function count(until: Milliseconds): void {
    if (Number.isFinite(countedUntil)) {
      lentTime += lentPart * Math.max(0, until - countedUntil);
    }
    countedUntil = Math.max(countedUntil, until);
  }

  function sumUp(): void {
    let sum = 0;
    nextExpiry = Infinity;
    for (const {part, until} of loans.values()) {
      sum += part;
      nextExpiry = Math.min(nextExpiry, until);
    }
    if (sum !== lentPart) {
      // What was saved up is bounded by what was lent then, and is lent now: the
      // rest may be saved up elsewhere.
      buckets.forEach(refill);
      lentPart = sum;
      buckets.forEach(refill);
    }
  }

  function expire(): void {
    for (const [lender, {until}] of loans) {
      if (until <= nextExpiry) {
        loans.delete(lender);
      }
    }
    sumUp();
  }

  function advance(now: Milliseconds): void {
    while (nextExpiry <= now) {
      count(nextExpiry);
      expire();
    }
    count(now);
  }

  function refill(bucket: Bucket): void {
    const {rate, burst} = bucket.limit;
    const gained = (rate * (lentTime - bucket.countedAt)) / SECOND;
    const started = startedParts - bucket.startedParts;
    const allowed = started * options.startAllowance(bucket.limit);
    const tokens = bucket.tokens + gained + allowed;
    bucket.tokens = Math.min(burst * lentPart, tokens);
    bucket.countedAt = lentTime;
    bucket.startedParts = startedParts;
  }

  function noteStart({lender, part, startOf}: LentPart): void {
    if (startOf !== undefined && startedProcesses.get(lender) !== startOf) {
      startedProcesses.set(lender, startOf);
      startedParts += part;
    }
  }

  /** A higher burst can be used at once, and no more than a lower one. */
  function takeLimit(bucket: Bucket, limit: VersionedLimit): void {
    const added = Math.max(0, limit.burst - bucket.limit.burst) * lentPart;
    bucket.tokens = Math.min(limit.burst * lentPart, bucket.tokens + added);
    bucket.limit = limit;
  }

  function bucketOf(limit: VersionedLimit): Bucket {
    const {account} = limit;
    const bucket = buckets.get(account) ?? {
      limit,
      tokens: 0,
      countedAt: 0,
      startedParts: 0,
      promisedUntil: -Infinity,
    };
    buckets.set(account, bucket);
    refill(bucket);
    if (limit.version > bucket.limit.version) {
      takeLimit(bucket, limit);
    }
    return bucket;
  }

  /** Callers that are refused come back one after the other, as tokens do. */
  function refuse(bucket: Bucket, now: Milliseconds): QuotaAnswer {
    const rate = bucket.limit.rate * lentPart;
    if (rate === 0) {
      return {kind: 'refused', retryAfter: LONGEST_RETRY_AFTER};
    }
    const tokenTime = SECOND / rate;
    const firstToken = now - bucket.tokens * tokenTime;
    const promised = Math.max(bucket.promisedUntil, firstToken) + tokenTime;
    bucket.promisedUntil = Math.min(promised, now + LONGEST_RETRY_AFTER);
    return {kind: 'refused', retryAfter: bucket.promisedUntil - now};
  }

  return {
    lend(loan, now) {
      const {lender, part, until} = loan;
      advance(now);
      loans.set(lender, {part, until});
      sumUp();
      noteStart(loan);
    },
    lentPart(now) {
      advance(now);
      return lentPart;
    },
    take(limit, now) {
      advance(now);
      const bucket = bucketOf(limit);
      // A part of a token is rounded up: small quotas would never be used.
      if (bucket.tokens <= 0) {
        return refuse(bucket, now);
      }
      bucket.tokens -= 1;
      return {kind: 'granted'};
    },
    charge(limit, charged, now) {
      advance(now);
      bucketOf(limit).tokens -= charged;
    },
    reset(now) {
      loans.clear();
      buckets.clear();
      sumUp();
      lentTime = 0;
      startedParts = 0;
      countedUntil = now;
    },
  };
}
