/**
 * Retries around any platform client: calls that may be repeated are, with
 * exponential backoff and jitter, until a deadline. A circuit breaker keeps a
 * long outage from costing much.
 */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Milliseconds, Runtime, Task, sleep, waitFor} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import {BreakerState, createCircuitBreaker} from './circuit_breaker';
import type {PlatformClient, PlatformReply} from './platform_client';

/** How patient the client is. */
export interface ResilientPlatformClientOptions {
  readonly inner: PlatformClient;
  readonly runtime: Runtime;
  /** No retry begins after this time from the call. */
  readonly retryTime?: Milliseconds;
  readonly shortestBackoff?: Milliseconds;
  readonly longestBackoff?: Milliseconds;
  /** Failures in a row that open the circuit breaker. */
  readonly failureThreshold?: number;
  /** First and longest time between probes while the breaker is open. */
  readonly shortestOpen?: Milliseconds;
  readonly longestOpen?: Milliseconds;
}

/** A client that retries; its breaker's state is for metrics. */
export interface ResilientPlatformClient extends PlatformClient {
  breakerState(): BreakerState;
}

const DEFAULTS = {
  retryTime: 3000,
  shortestBackoff: 50,
  longestBackoff: 1000,
  failureThreshold: 5,
  shortestOpen: 500,
  longestOpen: 5000,
};

function isOutage(failure: Failure): boolean {
  return failure.name === 'PLATFORM_UNAVAILABLE';
}

/** Wraps a client. */
export function createResilientPlatformClient(
  options: ResilientPlatformClientOptions,
): ResilientPlatformClient {
  const {inner, runtime} = options;
  const {timer, random} = runtime;
  const settings = {...DEFAULTS, ...options};
  const breaker = createCircuitBreaker({timer, random, ...settings});

  /** `mayHaveRun`: an earlier try of the same call may have had its effect. */
  function refusal(mayHaveRun: boolean): Failure {
    return createFailure('PLATFORM_UNAVAILABLE', {
      message: 'The platform is out; it is tried again later.',
      outcome: mayHaveRun ? 'unknown' : 'not_run',
      retryAfter: Math.ceil(breaker.retryAfter()),
    });
  }

  function* callOnce<T>(
    send: () => PlatformReply<T>,
  ): Task<Result<T, Failure>> {
    let reported = false;
    try {
      const result = yield* waitFor(send());
      reported = true;
      if (result.err && isOutage(result.val)) {
        breaker.failed();
      } else {
        breaker.succeeded();
      }
      return result;
    } finally {
      if (!reported) {
        // Cancelled in flight: a probe must not stay out for good.
        breaker.failed();
      }
    }
  }

  /** Full jitter: retries of many callers spread over the whole interval. */
  function backoffBefore(retry: number): Milliseconds {
    const {shortestBackoff, longestBackoff} = settings;
    const highest = Math.min(longestBackoff, shortestBackoff * 2 ** retry);
    return shortestBackoff + random.fraction() * (highest - shortestBackoff);
  }

  function* perform<T>(
    send: () => PlatformReply<T>,
    idempotent: boolean,
  ): Task<Result<T, Failure>> {
    const deadline = timer.now() + settings.retryTime;
    let mayHaveRun = false;
    for (let retry = 1; ; retry++) {
      if (!breaker.admit()) {
        return Err(refusal(mayHaveRun));
      }
      const result = yield* callOnce(send);
      if (result.ok || !isOutage(result.val)) {
        return result;
      }
      mayHaveRun ||= result.val.outcome === 'unknown';
      const outcome = mayHaveRun ? 'unknown' : 'not_run';
      const backoff = backoffBefore(retry);
      const repeatable = idempotent || !mayHaveRun;
      if (!repeatable || timer.now() + backoff >= deadline) {
        return Err({...result.val, outcome});
      }
      yield* sleep(backoff);
    }
  }

  function run<T>(send: () => PlatformReply<T>, idempotent: boolean) {
    return runtime.spawn('platform call', perform(send, idempotent)).result;
  }

  return {
    readRow: (table, key) => run(() => inner.readRow(table, key), true),
    // Not repeated once it may have run: its own effect would look like a
    // conflict. Whoever writes resolves that by reading the row.
    writeRow: (table, key, expectedVersion, value) =>
      run(() => inner.writeRow(table, key, expectedVersion, value), false),
    listRows: (table, after, limit) =>
      run(() => inner.listRows(table, after, limit), true),
    putObject: (digest, body) => run(() => inner.putObject(digest, body), true),
    getObject: digest => run(() => inner.getObject(digest), true),
    listInstances: () => run(() => inner.listInstances(), true),
    breakerState: breaker.state,
  };
}
