/**
 * Admission control for one target: how many requests run concurrently, which
 * queued request starts next, and which are refused. Slot time is the time for
 * which a statement occupies a slot of the target.
 */
import {Failure, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

import {createAdmissionQueue} from './admission_queue';
import type {CreateConcurrencyLimit, LimitSample} from './concurrency_limit';
import {createDrainRate} from './drain_rate';
import type {StartConditions} from './fair_shares';
import type {QueuePolicy, QueuedRequest} from './queue_policy';
import {createExponentialBackoff} from './retry';
import {RetryAfterPolicy, createRefusalMeter} from './retry_after';
import {createServiceTimes} from './service_times';

/**
 * Replaceable rules for the order of the queue, the concurrency limit and the
 * retry delay of refused requests.
 */
export interface AdmissionPolicies {
  readonly queue: QueuePolicy;
  readonly createConcurrencyLimit: CreateConcurrencyLimit;
  readonly retryAfter: RetryAfterPolicy;
}

/** A request that is queued until it starts or is refused. */
export interface AdmissionEntry extends QueuedRequest {
  /** Groups requests of similar service time. */
  readonly kind: string;
  /** Called once if the request is refused. */
  refuse(failure: Failure): void;
}

/** `slots` is the target's total, which all proxies share. */
export interface AdmissionOptions<E extends AdmissionEntry = AdmissionEntry> {
  readonly runtime: Runtime;
  readonly slots: number;
  readonly policies: AdmissionPolicies;
  /** Maximum number of queued requests. */
  readonly queueCapacity: number;
  /** Maximum number of open connections. */
  connectionShare(): number;
  /** Conditions for the start of requests with accounts; none by default. */
  readonly conditions?: StartConditions<E>;
  /** Called when a queued request may start. */
  onReady(): void;
}

/** How a started request ended. */
export type RunOutcome = LimitSample['outcome'];

/** Records when a started request was sent and how it ended. */
export interface RunningRequest {
  /**
   * Marks the request as sent now, if it was not sent when it was started. The
   * time to open a connection is not service time: if it counted as such,
   * queued requests would be refused for a while after startup.
   */
  sent(): void;
  /**
   * Marks the end. The latency of a `failed` request does not count as service
   * time.
   */
  end(outcome: RunOutcome, failed: boolean): void;
}

/**
 * Queues the requests for one target, starts them within the concurrency limit
 * and refuses those that would miss their deadline or exceed the queue's
 * capacity.
 */
export interface Admission<E extends AdmissionEntry> {
  /** Expected slot time of requests of this kind. */
  expected(kind: string): Milliseconds;
  /** True if another request may start. */
  mayStart(): boolean;
  /** Queues a request, which may be refused at once. */
  add(entry: E): void;
  /**
   * Removes and returns the next request that can still meet its deadline;
   * undefined if there is none or conditions hold back all of them.
   */
  next(): E | undefined;
  takeAll(): E[];
  /** Removes and returns the queued requests for which `matches` is true. */
  takeMatching(matches: (entry: E) => boolean): E[];
  /** Marks a request as started and sent. */
  start(entry: E): RunningRequest;
  /** Requeues a request that found no free slot, and pauses for a backoff. */
  waitForSlot(entry: E): void;
  /** Reserves a slot for a transaction. */
  addLease(): void;
  removeLease(): void;
  /** Number of connections that running and queued requests can use. */
  usefulConnections(): number;
  /** Predicted time until a new request of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  /** Predicted time until a new request starts. */
  startWait(): Milliseconds;
  /** Drops all measured service times. */
  resetServiceTimes(): void;
  inFlight(): number;
  queued(): number;
  limit(): number;
  /** Number of requests refused so far. */
  shed(): number;
}

const slotBackoff = createExponentialBackoff({first: 2, longest: 50});

export function createAdmission<E extends AdmissionEntry>(
  options: AdmissionOptions<E>,
): Admission<E> {
  const {runtime, policies} = options;
  const {timer, random} = runtime;
  const serviceTimes = createServiceTimes();
  const limit = policies.createConcurrencyLimit(options.slots);
  const refusals = createRefusalMeter();
  const drainRate = createDrainRate();
  const queue = createAdmissionQueue<E>({
    timer,
    policy: policies.queue,
    capacity: options.queueCapacity,
    // On average, half of the running requests' slot time has elapsed.
    slotTimeInFlight: () => slotTimeInFlight / 2,
    parallelism,
    onRefused: refuse,
    ...(options.conditions === undefined
      ? {}
      : {conditions: options.conditions}),
  });
  let running = 0;
  let leases = 0;
  let slotTimeInFlight: Milliseconds = 0;
  let shed = 0;
  let slotRefusals = 0;
  let pausedUntil = -Infinity;

  /**
   * Number of requests that may run concurrently besides the leases; at least
   * 1.
   */
  function availableConcurrency(): number {
    return Math.max(1, Math.floor(limit.current()) - leases);
  }

  /**
   * Number of statements that run concurrently: the lower of the allowed and
   * the measured number.
   */
  function parallelism(): number {
    const allowed = Math.min(
      availableConcurrency(),
      options.connectionShare() - leases,
    );
    const measured = drainRate.current(timer.now()) ?? Infinity;
    return Math.min(Math.max(1, allowed), measured);
  }

  function drainTime(): Milliseconds {
    return (slotTimeInFlight / 2 + queue.backlog()) / parallelism();
  }

  function startWait(): Milliseconds {
    return queue.size() === 0 && mayStart() ? 0 : drainTime();
  }

  function mayStart(): boolean {
    if (running >= availableConcurrency()) {
      return false;
    }
    return pausedUntil === -Infinity || timer.now() >= pausedUntil;
  }

  function refuse(entry: E): void {
    const now = timer.now();
    shed += 1;
    refusals.add(entry.expected, now);
    const load = {
      drainTime: drainTime(),
      refusedTime: refusals.recent(now) / parallelism(),
    };
    const retryAfter = policies.retryAfter(load, random);
    entry.refuse(createFailure('OVERLOADED', {retryAfter}));
  }

  function next(): E | undefined {
    for (;;) {
      const entry = queue.take();
      if (
        entry === undefined ||
        policies.queue.latestStart(entry) >= timer.now()
      ) {
        return entry;
      }
      refuse(entry);
    }
  }

  function start(entry: E): RunningRequest {
    let sentAt = timer.now();
    running += 1;
    slotTimeInFlight += entry.expected;
    queue.recordStart(entry);
    const inFlight = running + leases;

    function end(outcome: RunOutcome, failed: boolean): void {
      const now = timer.now();
      const latency = now - sentAt;
      running -= 1;
      slotTimeInFlight = running === 0 ? 0 : slotTimeInFlight - entry.expected;
      if (!failed) {
        slotRefusals = 0;
        drainRate.observe(entry.expected, now, queue.size() > 0);
        serviceTimes.observe(entry.kind, latency);
      }
      const shortestLatency = serviceTimes.shortest(entry.kind);
      limit.observe({outcome, latency, shortestLatency, inFlight, now});
    }

    return {
      sent() {
        sentAt = timer.now();
      },
      end,
    };
  }

  function waitForSlot(entry: E): void {
    slotRefusals += 1;
    const wait = slotBackoff(slotRefusals, random);
    pausedUntil = timer.now() + wait;
    timer.after(wait, options.onReady);
    queue.add(entry);
  }

  return {
    expected: serviceTimes.expected,
    mayStart,
    add: queue.add,
    next,
    takeAll: queue.takeAll,
    takeMatching: queue.takeMatching,
    start,
    waitForSlot,
    addLease() {
      leases += 1;
    },
    removeLease() {
      leases -= 1;
    },
    usefulConnections: () =>
      leases + Math.min(availableConcurrency(), running + queue.size()),
    expectedTime: kind => startWait() + serviceTimes.expected(kind),
    startWait,
    resetServiceTimes: serviceTimes.reset,
    inFlight: () => running + leases,
    queued: queue.size,
    limit: limit.current,
    shed: () => shed,
  };
}
