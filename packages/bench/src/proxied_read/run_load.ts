/** Runs a load phase: open loop at a fixed rate, or closed loop. */
import {build as createHistogram} from 'hdr-histogram-js';

import {LoadConnection, openLoadConnection} from './load_connection';
import type {LoadPlan, LoadResult} from './load_plan';

const MICROSECONDS_PER_MILLISECOND = 1000;
const MILLISECONDS_PER_SECOND = 1000;
const SIGNIFICANT_DIGITS = 3;
/** Time to wait for outstanding answers after the phase. */
const COMPLETION_TIMEOUT_MS = 1000;

/**
 * Opens the connections, runs a phase on them and waits a limited time for
 * outstanding answers.
 */
export async function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const idleConnections = await Promise.all(
    Array.from({length: plan.connections}, () =>
      openLoadConnection(plan.address, plan.protocol),
    ),
  );
  const connections = [...idleConnections];
  const histogram = createHistogram({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const startedAt = performance.now();
  const measurementStartsAt = startedAt + plan.warmUp;
  const endsAt = measurementStartsAt + plan.duration;
  const processorTime = process.cpuUsage();
  let dueCount = 0;
  let sent = 0;
  let inFlight = 0;
  let failed = 0;
  let firstFailure: string | undefined;

  function createBody(id: number): string {
    const key = {id: `${process.pid}-${startedAt}-${id}`, issuedAt: Date.now()};
    const params = plan.keyed ? {...plan.parameters, key} : plan.parameters;
    return JSON.stringify({jsonrpc: '2.0', id, method: plan.method, params});
  }

  /**
   * Records an answer that arrives during the measurement. Its latency counts
   * from the due time of the request, not from the time of sending.
   */
  function record(body: string, dueAt: number): void {
    const now = performance.now();
    if (now < measurementStartsAt || now > endsAt) {
      return;
    }
    if (body.includes('"error"')) {
      failed += 1;
      firstFailure ??= body;
    } else {
      histogram.recordValue(
        Math.round((now - dueAt) * MICROSECONDS_PER_MILLISECOND),
      );
    }
  }

  function send(connection: LoadConnection, dueAt: number): void {
    inFlight += 1;
    sent += 1;
    connection.send(createBody(sent), body => {
      inFlight -= 1;
      record(body, dueAt);
      idleConnections.push(connection);
      if (plan.rate === undefined) {
        sendOnIdleConnections();
      }
    });
  }

  function sendOnIdleConnections(): void {
    const now = performance.now();
    while (now < endsAt && idleConnections.length > 0) {
      send(idleConnections.pop() as LoadConnection, now);
    }
  }

  function sendDue(rate: number): void {
    const now = performance.now();
    dueCount = Math.floor(
      ((Math.min(now, endsAt) - startedAt) * rate) / MILLISECONDS_PER_SECOND,
    );
    while (sent < dueCount && idleConnections.length > 0) {
      const dueAt = startedAt + ((sent + 1) * MILLISECONDS_PER_SECOND) / rate;
      send(idleConnections.pop() as LoadConnection, dueAt);
    }
  }

  /**
   * Sends due requests on every turn of the event loop, because timers are too
   * coarse.
   */
  function runOpenLoop(rate: number, onEnd: () => void): void {
    sendDue(rate);
    if (performance.now() < endsAt) {
      setImmediate(runOpenLoop, rate, onEnd);
    } else {
      onEnd();
    }
  }

  await new Promise<void>(resolve => {
    if (plan.rate === undefined) {
      sendOnIdleConnections();
      setTimeout(resolve, plan.warmUp + plan.duration);
    } else {
      runOpenLoop(plan.rate, resolve);
    }
  });
  const {user, system} = process.cpuUsage(processorTime);
  const completionEndsAt = performance.now() + COMPLETION_TIMEOUT_MS;
  while (inFlight > 0 && performance.now() < completionEndsAt) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  connections.forEach(connection => connection.close());
  const elapsed = plan.warmUp + plan.duration;
  return {
    answered: histogram.totalCount,
    failed,
    firstFailure,
    sent,
    unsent: plan.rate === undefined ? 0 : dueCount - sent,
    perSecond: Math.round(
      (histogram.totalCount * MILLISECONDS_PER_SECOND) / plan.duration,
    ),
    median: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
    longest: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    generatorLoad: (user + system) / MICROSECONDS_PER_MILLISECOND / elapsed,
  };
}
