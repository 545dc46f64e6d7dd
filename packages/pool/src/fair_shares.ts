/**
 * Weighted fair shares of a target among client accounts, by start-time fair
 * queuing: an account that asks for several times its usual load delays its own
 * statements, not those of others.
 *
 * A virtual time per account advances by expected slot time / worth with each
 * statement that starts. The account with the lowest virtual time is next; its
 * statements are in the order of the policy. Requests without an account share
 * one virtual time, so that the policy alone orders a queue without accounts.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import type {QueuePolicy, QueuedRequest} from './queue_policy';

/** What the selection of the next request considers besides shares. */
export interface StartConditions<R extends QueuedRequest> {
  /**
   * Time that is needed before the request can be sent, for example to open a
   * connection; the request is compared as if it took longer by this time.
   */
  setupTime(request: R): Milliseconds;
  /**
   * True if the account is to wait although a slot is free. `requests` are its
   * queued requests in order; `isSlotUnused` is true if no other account starts
   * a request instead.
   */
  isHeld(requests: readonly R[], isSlotUnused: boolean): boolean;
}

/** Virtual times of accounts, and the order of requests that follows. */
export interface FairShares {
  /**
   * Returns the requests in the order in which they are expected to start.
   */
  order<R extends QueuedRequest>(requests: readonly R[]): R[];
  /**
   * Returns the request that starts next; undefined if all accounts are held.
   * `requests` are all queued requests; those of an account are in order.
   */
  select<R extends QueuedRequest>(
    requests: readonly R[],
    conditions: StartConditions<R>,
  ): R | undefined;
  /** Advances the virtual time of the request's account. */
  recordStart(request: QueuedRequest): void;
  /** Number of accounts whose virtual time is kept. */
  size(): number;
}

/**
 * Number of accounts that are kept. Only accounts that are ahead of the queue's
 * virtual time need an entry: those of the last few started statements. More
 * occur only while very many accounts start one statement each.
 */
const MAXIMUM_ACCOUNT_COUNT = 1000;

/** Creates shares in which no account has started a statement. */
export function createFairShares(
  policy: Pick<QueuePolicy, 'compare'>,
): FairShares {
  /**
   * Virtual time of the queue: the lowest of the accounts with queued requests.
   * An account that becomes active starts at it, so that no credit is gained by
   * being idle.
   */
  let queueTime = 0;
  const accountTimes = new Map<string | undefined, number>();

  function timeOf(account: string | undefined): number {
    return Math.max(queueTime, accountTimes.get(account) ?? 0);
  }

  function order<R extends QueuedRequest>(requests: readonly R[]): R[] {
    const tagged = [...groupByAccount(requests)].flatMap(([account, own]) => {
      let tag = timeOf(account);
      return own.sort(policy.compare).map(request => {
        const entry = {request, tag};
        tag += virtualCost(request);
        return entry;
      });
    });
    return tagged
      .sort(
        (left, right) =>
          left.tag - right.tag || policy.compare(left.request, right.request),
      )
      .map(({request}) => request);
  }

  function select<R extends QueuedRequest>(
    requests: readonly R[],
    conditions: StartConditions<R>,
  ): R | undefined {
    const groups = groupByAccount(requests);
    const times = [...groups.keys()].map(timeOf);
    queueTime = times.length === 0 ? queueTime : Math.min(...times);
    return (
      selectFrom(groups, conditions, false) ??
      selectFrom(groups, conditions, true)
    );
  }

  function selectFrom<R extends QueuedRequest>(
    groups: ReadonlyMap<string | undefined, R[]>,
    conditions: StartConditions<R>,
    isSlotUnused: boolean,
  ): R | undefined {
    let best: R | undefined;
    let lowest = Infinity;
    for (const [account, own] of groups) {
      const [first] = own as [R, ...R[]];
      const key = timeOf(account) + conditions.setupTime(first) / first.worth;
      const isFirst =
        key < lowest ||
        (key === lowest &&
          best !== undefined &&
          policy.compare(first, best) < 0);
      if (isFirst && !conditions.isHeld(own, isSlotUnused)) {
        best = first;
        lowest = key;
      }
    }
    return best;
  }

  /**
   * Discards the accounts that are not ahead of the queue. If too many are
   * left, the queue's virtual time is raised until half of them can go.
   */
  function discardAccounts(): void {
    if (accountTimes.size <= MAXIMUM_ACCOUNT_COUNT) {
      return;
    }
    const times = [...accountTimes.values()].sort((a, b) => a - b);
    const passed = times.findIndex(time => time > queueTime);
    if (passed < 0 || passed < MAXIMUM_ACCOUNT_COUNT / 2) {
      const median = times[times.length >> 1] ?? queueTime;
      queueTime = Math.max(queueTime, median);
    }
    for (const [account, time] of accountTimes) {
      if (time <= queueTime) {
        accountTimes.delete(account);
      }
    }
  }

  return {
    order,
    select,
    recordStart(request) {
      const time = timeOf(request.account) + virtualCost(request);
      accountTimes.set(request.account, time);
      discardAccounts();
    },
    size: () => accountTimes.size,
  };
}

function virtualCost({expected, worth}: QueuedRequest): number {
  return expected / worth;
}

function groupByAccount<R extends QueuedRequest>(
  requests: readonly R[],
): Map<string | undefined, R[]> {
  const groups = new Map<string | undefined, R[]>();
  for (const request of requests) {
    const group = groups.get(request.account);
    if (group === undefined) {
      groups.set(request.account, [request]);
    } else {
      group.push(request);
    }
  }
  return groups;
}
