/**
 * Bounded queue of the requests for one target, ordered by a policy, with one
 * timer for all requests. A request that can't meet its deadline is refused at
 * once: when it arrives, when requests of higher priority are queued ahead of
 * it, or when its latest start has passed.
 */
import type {Milliseconds, TimerService, Unsubscribe} from '@kelpstep/runtime';

import {type StartConditions, createFairShares} from './fair_shares';
import type {QueuePolicy, QueuedRequest} from './queue_policy';

/**
 * The functions return the current load, from which starts are predicted. Slot
 * time is the time for which a statement occupies a slot of the target.
 */
export interface AdmissionQueueOptions<R extends QueuedRequest> {
  readonly timer: TimerService;
  readonly policy: QueuePolicy;
  /** Maximum number of requests. Beyond it the last in order is refused. */
  readonly capacity: number;
  /** Remaining slot time of the running requests. */
  slotTimeInFlight(): Milliseconds;
  /** Number of statements that run concurrently. */
  parallelism(): number;
  /** Called for each request that is refused. */
  onRefused(request: R): void;
  /**
   * Conditions for the start of requests with accounts; by default they start
   * by their shares alone.
   */
  readonly conditions?: StartConditions<R>;
}

/**
 * Holds queued requests in the order of the policy, and of fair shares where
 * requests have accounts.
 */
export interface AdmissionQueue<R extends QueuedRequest> {
  /** Adds a request. It or others may be refused through `onRefused`. */
  add(request: R): void;
  /**
   * Removes and returns the next request; undefined if there is none, or if
   * conditions hold back all of them.
   */
  take(): R | undefined;
  /** Charges a request that has started to the share of its account. */
  recordStart(request: R): void;
  /** Removes and returns all requests. */
  takeAll(): R[];
  /** Removes and returns the requests for which `matches` is true. */
  takeMatching(matches: (request: R) => boolean): R[];
  size(): number;
  /** Expected slot time of all queued requests. */
  backlog(): Milliseconds;
}

const UNCONDITIONAL: StartConditions<QueuedRequest> = {
  setupTime: () => 0,
  isHeld: () => false,
};

export function createAdmissionQueue<R extends QueuedRequest>(
  options: AdmissionQueueOptions<R>,
): AdmissionQueue<R> {
  const {timer, policy, capacity, onRefused} = options;
  let waiting: R[] = [];
  let backlog: Milliseconds = 0;
  const shares = createFairShares(policy);
  const conditions: StartConditions<R> = options.conditions ?? UNCONDITIONAL;
  let timerDueAt = Infinity;
  let cancelTimer: Unsubscribe = () => {};

  function hasAccounts(): boolean {
    return waiting.some(({account}) => account !== undefined);
  }

  /** Inserts a request and returns its index. */
  function insert(request: R): number {
    backlog += request.expected;
    if (request.account === undefined && !hasAccounts()) {
      return insertByPolicy(request);
    }
    waiting = shares.order([...waiting, request]);
    return waiting.indexOf(request);
  }

  function insertByPolicy(request: R): number {
    let low = 0;
    let high = waiting.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (policy.compare(waiting[middle] as R, request) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    waiting.splice(low, 0, request);
    return low;
  }

  /**
   * Refuses the requests for which `keep` is false, once the queue is
   * consistent.
   */
  function retain(keep: (request: R, index: number) => boolean): void {
    removeExcept(keep).forEach(onRefused);
  }

  /** Removes and returns the requests for which `keep` is false. */
  function removeExcept(keep: (request: R, index: number) => boolean): R[] {
    const removed: R[] = [];
    const kept: R[] = [];
    let keptBacklog = 0;
    waiting.forEach((request, index) => {
      if (keep(request, index)) {
        kept.push(request);
        keptBacklog += request.expected;
      } else {
        removed.push(request);
      }
    });
    waiting = kept;
    backlog = keptBacklog;
    return removed;
  }

  /**
   * Returns the index of the first request from `index` on that is predicted to
   * start too late; -1 if there is none.
   */
  function findLateRequest(index: number): number {
    const now = timer.now();
    const parallelism = options.parallelism();
    let slotTimeAhead = options.slotTimeInFlight();
    for (let position = 0; position < waiting.length; position++) {
      const request = waiting[position] as R;
      const load = {now, slotTimeAhead, parallelism};
      if (
        position >= index &&
        policy.predictStart(load) > policy.latestStart(request)
      ) {
        return position;
      }
      slotTimeAhead += request.expected;
    }
    return -1;
  }

  /**
   * Refuses each request from `index` on that is predicted to start too late.
   */
  function refuseLateRequests(index: number): void {
    const refused: R[] = [];
    let lateIndex = findLateRequest(index);
    while (lateIndex >= 0) {
      const [request] = waiting.splice(lateIndex, 1) as [R];
      backlog -= request.expected;
      refused.push(request);
      lateIndex = findLateRequest(lateIndex);
    }
    refused.forEach(onRefused);
  }

  function onTimer(): void {
    timerDueAt = Infinity;
    const now = timer.now();
    retain(request => policy.latestStart(request) > now);
    const earliest = waiting.reduce(
      (minimum, request) => Math.min(minimum, policy.latestStart(request)),
      Infinity,
    );
    armTimer(earliest);
  }

  function armTimer(time: Milliseconds): void {
    if (time >= timerDueAt) {
      return;
    }
    cancelTimer();
    timerDueAt = time;
    cancelTimer = timer.after(time - timer.now(), onTimer);
  }

  function add(request: R): void {
    const index = insert(request);
    armTimer(policy.latestStart(request));
    refuseLateRequests(index);
    if (waiting.length > capacity) {
      retain((unusedRequest, position) => position < capacity);
    }
  }

  function take(): R | undefined {
    const candidates = hasAccounts() ? waiting : waiting.slice(0, 1);
    const request = shares.select(candidates, conditions);
    if (request !== undefined) {
      waiting.splice(waiting.indexOf(request), 1);
      backlog = waiting.length === 0 ? 0 : backlog - request.expected;
    }
    return request;
  }

  function takeAll(): R[] {
    const all = waiting;
    waiting = [];
    backlog = 0;
    return all;
  }

  return {
    add,
    take,
    recordStart: shares.recordStart,
    takeAll,
    takeMatching: matches => removeExcept(request => !matches(request)),
    size: () => waiting.length,
    backlog: () => backlog,
  };
}
