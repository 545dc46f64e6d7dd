/** Callers whose requests come at a rate, whatever becomes of those before. */
import {Milliseconds, Task, sleep, waitFor} from '@kelpstep/runtime';
import {Cluster, callProxy} from '@kelpstep/scenarios';

import {LoadKind, pickKind, statementOf} from './request_mix';

/** What became of a request. Times are monotonic. */
export interface LoadRequest {
  readonly kind: LoadKind;
  readonly arrivedAt: Milliseconds;
  endedAt: Milliseconds;
  /**
   * `served`: in time and fresh enough. `late`: answered, but not so.
   * `refused`: not run. `lost`: no answer, or its outcome is unknown.
   */
  end: 'served' | 'late' | 'refused' | 'lost';
  role: 'primary' | 'replica' | undefined;
  /** Times that it was sent. */
  attempts: number;
}

/** What a load is made of. */
export interface OpenLoadOptions {
  readonly cluster: Cluster;
  readonly group: string;
  /** Requests a millisecond. */
  readonly rate: number;
  readonly endsAt: Milliseconds;
}

interface Answer {
  readonly token: string;
  readonly servedBy?: {readonly role: 'primary' | 'replica'};
  readonly age?: Milliseconds;
}

const SESSIONS = 100;
const MAXIMUM_ATTEMPTS = 3;
const DEFAULT_RETURN: Milliseconds = 50;

/** Starts the load; the list grows as requests end. */
export function startOpenLoad(options: OpenLoadOptions): LoadRequest[] {
  const {cluster, group, rate, endsAt} = options;
  const {timer, runtime, proxies, deployment} = cluster;
  const random = cluster.random.split();
  const tokens = Array.from({length: SESSIONS}, () => '');
  const ended: LoadRequest[] = [];

  function parametersOf(kind: LoadKind, session: number): object {
    const name = `session-${session}`;
    const key = {id: random.hexadecimal(16), issuedAt: timer.wallClock()};
    return {
      group,
      kind: kind.name,
      token: tokens[session],
      statement: statementOf(kind, name),
      ...(kind.method === 'write' ? {key} : {}),
      ...(kind.maximumAge === undefined ? {} : {maximumAge: kind.maximumAge}),
    };
  }

  function conclude(request: LoadRequest, answer: Answer): void {
    const {kind, arrivedAt, endedAt} = request;
    const isFresh = (answer.age ?? 0) <= (kind.maximumAge ?? Infinity);
    const isInTime = endedAt - arrivedAt <= kind.deadline;
    request.end = isFresh && isInTime ? 'served' : 'late';
    request.role = answer.servedBy?.role;
  }

  /** Comes back when told to, while there is time. */
  function* send(request: LoadRequest): Task<void> {
    const {kind, arrivedAt} = request;
    const session = random.integer(0, SESSIONS - 1);
    const parameters = parametersOf(kind, session);
    const deadline = Math.floor(timer.wallClock() + kind.deadline);
    for (;;) {
      request.attempts += 1;
      const offered = proxies.offered();
      const proxy = random.pick(
        offered.length > 0 ? offered : proxies.running(),
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
        conclude(request, answer);
        return;
      }
      const isRefused = reply !== 'lost' && reply.val.outcome === 'not_run';
      request.end = isRefused ? 'refused' : 'lost';
      const back =
        reply === 'lost'
          ? DEFAULT_RETURN
          : (reply.val.retryAfter ?? DEFAULT_RETURN);
      const isOver = timer.now() + back >= arrivedAt + kind.deadline;
      if (isOver || request.attempts === MAXIMUM_ATTEMPTS) {
        return;
      }
      yield* sleep(back);
    }
  }

  function* arrive(): Task<void> {
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

  /** Times between arrivals are exponential. */
  function* run(): Task<void> {
    while (timer.now() < endsAt) {
      yield* sleep(-Math.log(1 - random.fraction()) / rate);
      runtime.spawn('request', arrive());
    }
  }

  runtime.spawn('load', run());
  return ended;
}
