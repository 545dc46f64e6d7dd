/**
 * Wraps a platform client with retries and a circuit breaker. Calls that are
 * safe to repeat are retried with exponential backoff and jitter until a
 * deadline; the circuit breaker bounds the number of calls during a long
 * outage.
 */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Milliseconds, Runtime, Task, sleep, waitFor} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import {BreakerState, createCircuitBreaker} from './circuit_breaker';
import type {PlatformClient, PlatformReply} from './platform_client';

/**
 * The client to wrap, and the limits of its retries and its circuit breaker.
 */
export interface ResilientPlatformClientOptions {
  /** The wrapped client. */
  readonly inner: PlatformClient;
  readonly runtime: Runtime;
  /**
   * Time after the start of a call in which retries may start; 3 seconds by
   * default.
   */
  readonly retryTime?: Milliseconds;
  readonly shortestBackoff?: Milliseconds;
  readonly longestBackoff?: Milliseconds;
  /** Consecutive failures that open the circuit breaker. */
  readonly failureThreshold?: number;
  /**
   * Time from the opening of the breaker to its first probe. It doubles with
   * each failed probe, up to `longestOpen`.
   */
  readonly shortestOpen?: Milliseconds;
  readonly longestOpen?: Milliseconds;
}

/** A platform client with retries and a circuit breaker. */
export interface ResilientPlatformClient extends PlatformClient {
  /** State of the circuit breaker, for metrics. */
  breakerState(): BreakerState;
}

/** Default options; times are in milliseconds. */
const DEFAULTS = {
  retryTime: 3000,
  shortestBackoff: 50,
  longestBackoff: 1000,
  failureThreshold: 5,
  shortestOpen: 500,
  longestOpen: 5000,
};

function isUnavailable(failure: Failure): boolean {
  return failure.name === 'PLATFORM_UNAVAILABLE';
}

/**
 * Wraps a platform client with retries and a circuit breaker. While the breaker
 * is open, calls fail with `PLATFORM_UNAVAILABLE` and a retry delay.
 */
export function createResilientPlatformClient(
  options: ResilientPlatformClientOptions,
): ResilientPlatformClient {
  const {inner, runtime} = options;
  const {timer, random} = runtime;
  const settings = {...DEFAULTS, ...options};
  const breaker = createCircuitBreaker({timer, random, ...settings});

  /**
   * Creates the failure of a call that the breaker refuses. `mayHaveRun`: an
   * earlier attempt of the same call may have taken effect.
   */
  function createRefusal(mayHaveRun: boolean): Failure {
    return createFailure('PLATFORM_UNAVAILABLE', {
      message: 'The platform is out; it is tried again later.',
      outcome: mayHaveRun ? 'unknown' : 'not_run',
      retryAfter: Math.ceil(breaker.retryAfter()),
    });
  }

  function* callOnce<T>(
    send: () => PlatformReply<T>,
  ): Task<Result<T, Failure>> {
    let isReported = false;
    try {
      const result = yield* waitFor(send());
      isReported = true;
      if (result.err && isUnavailable(result.val)) {
        breaker.failed();
      } else {
        breaker.succeeded();
      }
      return result;
    } finally {
      if (!isReported) {
        // The call was cancelled in flight. A probe without a recorded result
        // would block the breaker.
        breaker.failed();
      }
    }
  }

  /**
   * Chooses a random backoff between the shortest one and a bound that doubles
   * with each retry, which spreads the retries of many callers.
   */
  function backoffBefore(retry: number): Milliseconds {
    const {shortestBackoff, longestBackoff} = settings;
    const upperBound = Math.min(longestBackoff, shortestBackoff * 2 ** retry);
    return shortestBackoff + random.fraction() * (upperBound - shortestBackoff);
  }

  function* perform<T>(
    send: () => PlatformReply<T>,
    idempotent: boolean,
  ): Task<Result<T, Failure>> {
    const deadline = timer.now() + settings.retryTime;
    let mayHaveRun = false;
    for (let retry = 1; ; retry++) {
      if (!breaker.admit()) {
        return Err(createRefusal(mayHaveRun));
      }
      const result = yield* callOnce(send);
      if (result.ok || !isUnavailable(result.val)) {
        return result;
      }
      mayHaveRun ||= result.val.outcome === 'unknown';
      const outcome = mayHaveRun ? 'unknown' : 'not_run';
      const backoff = backoffBefore(retry);
      const isRepeatable = idempotent || !mayHaveRun;
      if (!isRepeatable || timer.now() + backoff >= deadline) {
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
    // A write that may have taken effect is not retried: the retry would
    // conflict with the first attempt. The caller reads the row to learn
    // whether it was written.
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
