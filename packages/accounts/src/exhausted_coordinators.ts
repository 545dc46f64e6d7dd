/**
 * Remembers which quota coordinators have refused an account, and at which
 * priority. Does no I/O.
 *
 * Load pattern: one account sends many times its quota, so that most requests
 * to coordinators would be refused. A refusal holds for its own priority and
 * for lower ones; higher ones may still have tokens reserved.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** Recent refusals of coordinators. Priority 0 is the highest. */
export interface ExhaustedCoordinators {
  /**
   * The retry time of a coordinator that need not be asked; undefined if it is
   * to be asked.
   */
  refusalOf(request: CoordinatorRequest, now: Milliseconds): number | undefined;
  /** Records a refusal, for which the coordinator isn't asked until `until`. */
  recordRefusal(
    request: CoordinatorRequest,
    retryAfter: Milliseconds,
    until: Milliseconds,
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
    recordRefusal(request, retryAfter, until) {
      const key = keyOf(request);
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
