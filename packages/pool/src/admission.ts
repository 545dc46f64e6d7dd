/**
 * Admission of requests at one target: how many run at a time, which of the
 * waiting goes next, and which are refused.
 */
import {Failure, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

import {createAdmissionQueue} from './admission_queue';
import type {CreateConcurrencyLimit, LimitSample} from './concurrency_limit';
import {createDrainRate} from './drain_rate';
import type {QueuePolicy, QueuedWork} from './queue_policy';
import {createExponentialBackoff} from './retry';
import {RetryAfterPolicy, createRefusalMeter} from './retry_after';
import {createServiceTimes} from './service_times';

/** Policies of admission. */
export interface AdmissionPolicies {
  readonly queue: QueuePolicy;
  readonly createConcurrencyLimit: CreateConcurrencyLimit;
  readonly retryAfter: RetryAfterPolicy;
}

/** A request that is to be admitted. */
export interface AdmissionEntry extends QueuedWork {
  /** Names requests that take about the same time. */
  readonly kind: string;
  /** Called once if the request is refused. */
  refuse(failure: Failure): void;
}

/** What admission is made of. */
export interface AdmissionOptions {
  readonly runtime: Runtime;
  readonly slots: number;
  readonly policies: AdmissionPolicies;
  /** Requests that wait at most. */
  readonly queueCapacity: number;
  /** Connections that may be open at most. */
  connectionShare(): number;
  /** A request that waits may start now. */
  onReady(): void;
}

/** How a request that ran came to its end. */
export type RunOutcome = LimitSample['outcome'];

/** A request that runs. */
export interface AdmittedRun {
  /**
   * Tells that it is sent only now: the time to open a connection is no service
   * time, and would have what waits refused for a while after a start.
   */
  sent(): void;
  /** Tells of its end; `failed` answers don't count as service times. */
  end(outcome: RunOutcome, failed: boolean): void;
}

/** Admission at one target. */
export interface Admission<E extends AdmissionEntry> {
  /** Expected time in a slot of this kind. */
  expected(kind: string): Milliseconds;
  /** True if another request may start. */
  mayStart(): boolean;
  /** Lets a request wait; it may be refused at once. */
  add(entry: E): void;
  /** The next request that can still meet its deadline. */
  next(): E | undefined;
  takeAll(): E[];
  /** Tells that a request was sent. */
  start(entry: E): AdmittedRun;
  /** Lets a request that found no slot wait again, and pauses. */
  waitForSlot(entry: E): void;
  /** A transaction holds a slot from now on. */
  addLease(): void;
  removeLease(): void;
  /** Connections that what runs and waits could use. */
  usefulConnections(): number;
  /** Predicted time until a new request of this kind is answered. */
  expectedTime(kind: string): Milliseconds;
  inFlight(): number;
  queued(): number;
  limit(): number;
  /** Requests refused so far. */
  shed(): number;
}

const slotBackoff = createExponentialBackoff({first: 2, longest: 50});

/** Creates admission with nothing running. */
export function createAdmission<E extends AdmissionEntry>(
  options: AdmissionOptions,
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
    // What runs is half done on average.
    workInFlight: () => workInFlight / 2,
    parallelism,
    onRefused: refuse,
  });
  let running = 0;
  let leases = 0;
  let workInFlight: Milliseconds = 0;
  let shed = 0;
  let slotRefusals = 0;
  let pausedUntil = -Infinity;

  /** Requests that may run besides the leases, of which at least one. */
  function room(): number {
    return Math.max(1, Math.floor(limit.current()) - leases);
  }

  /** Statements that run at a time, as measured, or as allowed. */
  function parallelism(): number {
    const allowed = Math.min(room(), options.connectionShare() - leases);
    const measured = drainRate.current(timer.now()) ?? Infinity;
    return Math.min(Math.max(1, allowed), measured);
  }

  function drainTime(): Milliseconds {
    return (workInFlight / 2 + queue.backlog()) / parallelism();
  }

  function mayStart(): boolean {
    if (running >= room()) {
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

  function start(entry: E): AdmittedRun {
    let sentAt = timer.now();
    running += 1;
    workInFlight += entry.expected;
    const inFlight = running + leases;

    function end(outcome: RunOutcome, failed: boolean): void {
      const now = timer.now();
      const latency = now - sentAt;
      running -= 1;
      workInFlight = running === 0 ? 0 : workInFlight - entry.expected;
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
    start,
    waitForSlot,
    addLease() {
      leases += 1;
    },
    removeLease() {
      leases -= 1;
    },
    usefulConnections: () => leases + Math.min(room(), running + queue.size()),
    expectedTime(kind) {
      const wait = queue.size() === 0 && mayStart() ? 0 : drainTime();
      return wait + serviceTimes.expected(kind);
    },
    inFlight: () => running + leases,
    queued: queue.size,
    limit: limit.current,
    shed: () => shed,
  };
}
