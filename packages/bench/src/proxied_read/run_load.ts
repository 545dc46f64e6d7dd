/** One phase of load: open loop at a rate, or as fast as answers come. */
import {build as createHistogram} from 'hdr-histogram-js';

import {LoadConnection, openLoadConnection} from './load_connection';
import type {LoadPlan, LoadResult} from './load_plan';

const MICROSECONDS = 1000;
const SECOND = 1000;
const SIGNIFICANT_DIGITS = 3;
/** Answers that are still out at the end are waited for this long. */
const GRACE = 1000;

/** Runs a phase and gives its figures. */
export async function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const idle = await Promise.all(
    Array.from({length: plan.connections}, () =>
      openLoadConnection(plan.address, plan.protocol),
    ),
  );
  const all = [...idle];
  const histogram = createHistogram({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const startedAt = performance.now();
  const measuredFrom = startedAt + plan.warmUp;
  const endsAt = measuredFrom + plan.duration;
  const processorTime = process.cpuUsage();
  let due = 0;
  let sent = 0;
  let inFlight = 0;
  let failed = 0;
  let firstFailure: string | undefined;

  function bodyOf(id: number): string {
    const key = {id: `${process.pid}-${startedAt}-${id}`, issuedAt: Date.now()};
    const params = plan.keyed ? {...plan.parameters, key} : plan.parameters;
    return JSON.stringify({jsonrpc: '2.0', id, method: plan.method, params});
  }

  /** Latency counts from when the request was due, not from when it left. */
  function record(body: string, dueAt: number): void {
    const now = performance.now();
    if (now < measuredFrom || now > endsAt) {
      return;
    }
    if (body.includes('"error"')) {
      failed += 1;
      firstFailure ??= body;
    } else {
      histogram.recordValue(Math.round((now - dueAt) * MICROSECONDS));
    }
  }

  function send(connection: LoadConnection, dueAt: number): void {
    inFlight += 1;
    sent += 1;
    connection.send(bodyOf(sent), body => {
      inFlight -= 1;
      record(body, dueAt);
      idle.push(connection);
      if (plan.rate === undefined) {
        sendAtOnce();
      }
    });
  }

  function sendAtOnce(): void {
    const now = performance.now();
    while (now < endsAt && idle.length > 0) {
      send(idle.pop() as LoadConnection, now);
    }
  }

  function sendDue(rate: number): void {
    const now = performance.now();
    due = Math.floor(((Math.min(now, endsAt) - startedAt) * rate) / SECOND);
    while (sent < due && idle.length > 0) {
      const dueAt = startedAt + ((sent + 1) * SECOND) / rate;
      send(idle.pop() as LoadConnection, dueAt);
    }
  }

  /** Timers are too coarse for this: the loop turns without a pause. */
  function pace(rate: number, onEnd: () => void): void {
    sendDue(rate);
    if (performance.now() < endsAt) {
      setImmediate(pace, rate, onEnd);
    } else {
      onEnd();
    }
  }

  await new Promise<void>(resolve => {
    if (plan.rate === undefined) {
      sendAtOnce();
      setTimeout(resolve, plan.warmUp + plan.duration);
    } else {
      pace(plan.rate, resolve);
    }
  });
  const {user, system} = process.cpuUsage(processorTime);
  const graceEnd = performance.now() + GRACE;
  while (inFlight > 0 && performance.now() < graceEnd) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  all.forEach(connection => connection.close());
  const elapsed = plan.warmUp + plan.duration;
  return {
    answered: histogram.totalCount,
    failed,
    firstFailure,
    sent,
    unsent: plan.rate === undefined ? 0 : due - sent,
    perSecond: Math.round((histogram.totalCount * SECOND) / plan.duration),
    median: histogram.getValueAtPercentile(50) / MICROSECONDS,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS,
    longest: histogram.maxValue / MICROSECONDS,
    generatorLoad: (user + system) / MICROSECONDS / elapsed,
  };
}
