/**
 * Remembers which quota coordinators have refused an account, and at which
 * priority. Does no I/O.
 *
 * Load pattern: one account sends many times its quota, so that most requests
 * to coordinators would be refused. A refusal holds for its own priority and
 * for lower ones; higher ones may still have tokens reserved.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import type {QuotaLimit} from './account_directory';

/** Recent refusals of coordinators. Priority 0 is the highest. */
export interface ExhaustedCoordinators {
  /**
   * The retry time of a coordinator that need not be asked; undefined if it is
   * to be asked.
   */
  refusalOf(request: CoordinatorRequest, now: Milliseconds): number | undefined;
  /**
   * Records a refusal. The coordinator need not be asked until the retry time,
   * but at most for so long that no tokens of the account are lost meanwhile.
   */
  recordRefusal(
    request: CoordinatorRequest,
    limit: QuotaLimit,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Drops the refusals that a grant disproves. */
  recordGrant(request: CoordinatorRequest): void;
}

/** A request of one operation from one coordinator. */
export interface CoordinatorRequest {
  /** Name of the coordinator's proxy. */
  readonly coordinator: string;
  readonly account: string;
  readonly priority: number;
}

interface Refusal {
  readonly retryAfter: Milliseconds;
  readonly until: Milliseconds;
}

/**
 * Longest time until an exhausted coordinator is requested again for an
 * account. Tokens that accrue beyond the burst in the meantime would be lost.
 */
const MAXIMUM_BACKOFF_MS: Milliseconds = 200;
/**
 * Longest such time as a share of the time in which an empty bucket fills. As
 * up to half of a bucket may be reserved for higher priorities, the other half
 * must not fill meanwhile.
 */
const MAXIMUM_BACKOFF_FILL_RATIO = 0.5;
const SECOND_MS: Milliseconds = 1000;

function backoffAfter(
  {rate, burst}: QuotaLimit,
  retryAfter: Milliseconds,
): Milliseconds {
  const fillTime = rate === 0 ? Infinity : (burst / rate) * SECOND_MS;
  return Math.min(
    retryAfter,
    MAXIMUM_BACKOFF_MS,
    fillTime * MAXIMUM_BACKOFF_FILL_RATIO,
  );
}

/** Creates an empty memory. */
export function createExhaustedCoordinators(): ExhaustedCoordinators {
  const refusals = new Map<string, Map<number, Refusal>>();

  const keyOf = ({coordinator, account}: CoordinatorRequest) =>
    `${coordinator} ${account}`;

  return {
    refusalOf(request, now) {
      const known = refusals.get(keyOf(request)) ?? [];
      for (const [priority, {retryAfter, until}] of known) {
        if (priority <= request.priority && now < until) {
          return retryAfter;
        }
      }
      return undefined;
    },
    recordRefusal(request, limit, retryAfter, now) {
      const key = keyOf(request);
      const until = now + backoffAfter(limit, retryAfter);
      const known = refusals.get(key) ?? new Map<number, Refusal>();
      refusals.set(key, known.set(request.priority, {retryAfter, until}));
    },
    recordGrant(request) {
      const key = keyOf(request);
      const known = refusals.get(key);
      for (const priority of known?.keys() ?? []) {
        if (priority <= request.priority) {
          known?.delete(priority);
        }
      }
      if (known?.size === 0) {
        refusals.delete(key);
      }
    },
  };
}
