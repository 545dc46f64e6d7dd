/** Open-loop load: the arrival rate does not depend on earlier requests. */
import {Milliseconds, Task, sleep, waitFor} from '@kelpstep/runtime';
import {Cluster, callProxy} from '@kelpstep/scenarios';

import {LoadKind, pickKind, createStatement} from './request_mix';

/**
 * A request of the load and its outcome. Its times are readings of the
 * monotonic clock in milliseconds.
 */
export interface LoadRequest {
  readonly kind: LoadKind;
  readonly arrivedAt: Milliseconds;
  endedAt: Milliseconds;
  /**
   * `served`: answered within the deadline and the accepted staleness.
   * `late`: answered, but after the deadline or too stale.
   * `refused`: not run. `lost`: no answer, or the outcome is unknown.
   */
  end: 'served' | 'late' | 'refused' | 'lost';
  role: 'primary' | 'replica' | undefined;
  /** How often the request was sent. */
  attempts: number;
}

/** Cluster, arrival rate and end of an open-loop load. */
export interface OpenLoopLoadOptions {
  readonly cluster: Cluster;
  readonly group: string;
  /** Requests per millisecond. */
  readonly rate: number;
  readonly endsAt: Milliseconds;
}

interface Answer {
  readonly token: string;
  readonly servedBy?: {readonly role: 'primary' | 'replica'};
  readonly age?: Milliseconds;
}

const SESSION_COUNT = 100;
const MAXIMUM_ATTEMPTS = 3;
const DEFAULT_BACKOFF_MS: Milliseconds = 50;

/** Starts the load; the returned list grows as requests end. */
export function startOpenLoopLoad(options: OpenLoopLoadOptions): LoadRequest[] {
  const {cluster, group, rate, endsAt} = options;
  const {timer, runtime, proxies, deployment} = cluster;
  const random = cluster.random.split();
  const tokens = Array.from({length: SESSION_COUNT}, () => '');
  const ended: LoadRequest[] = [];

  function createParameters(kind: LoadKind, session: number): object {
    const name = `session-${session}`;
    const key = {id: random.hexadecimal(16), issuedAt: timer.wallClock()};
    return {
      group,
      kind: kind.name,
      token: tokens[session],
      statement: createStatement(kind, name),
      ...(kind.method === 'write' ? {key} : {}),
      ...(kind.maximumAge === undefined ? {} : {maximumAge: kind.maximumAge}),
    };
  }

  function recordAnswer(request: LoadRequest, answer: Answer): void {
    const {kind, arrivedAt, endedAt} = request;
    const isFresh = (answer.age ?? 0) <= (kind.maximumAge ?? Infinity);
    const isInTime = endedAt - arrivedAt <= kind.deadline;
    request.end = isFresh && isInTime ? 'served' : 'late';
    request.role = answer.servedBy?.role;
  }

  /**
   * Sends a request and retries it after the requested backoff while the
   * deadline allows it.
   */
  function* send(request: LoadRequest): Task<void> {
    const {kind, arrivedAt} = request;
    const session = random.integer(0, SESSION_COUNT - 1);
    const parameters = createParameters(kind, session);
    const deadline = Math.floor(timer.wallClock() + kind.deadline);
    for (;;) {
      request.attempts += 1;
      const available = proxies.offered();
      const proxy = random.pick(
        available.length > 0 ? available : proxies.running(),
      );
      const reply = yield* waitFor(
        callProxy(timer, deployment.callerLatency, proxy, kind.method, {
          ...parameters,
          deadline,
        }),
      );
      request.endedAt = timer.now();
      if (reply !== 'lost' && reply.ok) {
        const answer = reply.val as Answer;
        tokens[session] = answer.token;
        recordAnswer(request, answer);
        return;
      }
      const isRefused = reply !== 'lost' && reply.val.outcome === 'not_run';
      request.end = isRefused ? 'refused' : 'lost';
      const backoff =
        reply === 'lost'
          ? DEFAULT_BACKOFF_MS
          : (reply.val.retryAfter ?? DEFAULT_BACKOFF_MS);
      const isPastDeadline = timer.now() + backoff >= arrivedAt + kind.deadline;
      if (isPastDeadline || request.attempts === MAXIMUM_ATTEMPTS) {
        return;
      }
      yield* sleep(backoff);
    }
  }

  function* runRequest(): Task<void> {
    const arrivedAt = timer.now();
    const request: LoadRequest = {
      kind: pickKind(random),
      arrivedAt,
      endedAt: arrivedAt,
      end: 'lost',
      role: undefined,
      attempts: 0,
    };
    yield* send(request);
    ended.push(request);
  }

  /** Starts requests at exponentially distributed intervals. */
  function* generateArrivals(): Task<void> {
    while (timer.now() < endsAt) {
      yield* sleep(-Math.log(1 - random.fraction()) / rate);
      runtime.spawn('request', runRequest());
    }
  }

  runtime.spawn('load', generateArrivals());
  return ended;
}
