/** Client of the platform over HTTP, with failover between its addresses. */
import type {Failure} from '@kelpstep/protocol';
import {
  Milliseconds,
  Random,
  Task,
  TimerService,
  createRuntime,
  waitFor,
} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

import {
  ConcurrencyLimiter,
  createConcurrencyLimiter,
} from './concurrency_limiter';
import {HttpExchange, createHttpExchanger} from './http_exchange';
import {
  PLATFORM_CALLS,
  PlatformCall,
  createUnavailableFailure,
  readOutcome,
} from './http_platform_calls';
import type {PlatformClient} from './platform_client';

/** Addresses, limits and dependencies of an HTTP platform client. */
export interface HttpPlatformClientOptions {
  /** `ip:port` of the platform's endpoints, tried in turn. */
  readonly addresses: readonly string[];
  readonly timer: TimerService;
  /** Selects the address that is tried first. */
  readonly random: Random;
  /**
   * Timeout of a request to one address, and of the wait for a free slot; 2
   * seconds by default.
   */
  readonly requestTimeout?: Milliseconds;
  /** Maximum number of requests in flight; 8 by default. */
  readonly concurrentRequests?: number;
  /**
   * Maximum number of requests that wait for a free slot; further ones fail at
   * once. The default is 1000.
   */
  readonly waitingRequests?: number;
  /** Replaces the HTTP transport in tests. */
  readonly exchange?: HttpExchange;
}

/** A platform client with open connections. */
export interface HttpPlatformClient extends PlatformClient {
  /** Cancels all requests and closes all connections. */
  close(): void;
}

const DEFAULT_REQUEST_TIMEOUT_MS = 2000;
const DEFAULT_CONCURRENT_REQUEST_COUNT = 8;
const DEFAULT_WAITING_REQUEST_COUNT = 1000;

/** Returns whether the call failed and may be repeated with another address. */
function shouldTryNextAddress<T>(
  call: PlatformCall<T>,
  result: Result<T, Failure>,
): boolean {
  if (result.ok || result.val.name !== 'PLATFORM_UNAVAILABLE') {
    return false;
  }
  return call.idempotent || result.val.outcome === 'not_run';
}

/**
 * Creates a client of the platform over HTTP. A call is repeated with the next
 * address if the platform is unavailable and the repetition is safe.
 */
export function createHttpPlatformClient(
  options: HttpPlatformClientOptions,
): HttpPlatformClient {
  const {addresses, timer, random} = options;
  const timeout = options.requestTimeout ?? DEFAULT_REQUEST_TIMEOUT_MS;
  const connections =
    options.concurrentRequests ?? DEFAULT_CONCURRENT_REQUEST_COUNT;
  const exchanger = createHttpExchanger({timer, connections});
  const exchange = options.exchange ?? exchanger.exchange;
  const runtime = createRuntime({timer, random});
  const limiter: ConcurrencyLimiter = createConcurrencyLimiter({
    maximumConcurrent: connections,
    maximumWaiting: options.waitingRequests ?? DEFAULT_WAITING_REQUEST_COUNT,
  });
  let preferred = random.integer(0, addresses.length - 1);

  /**
   * Tries the addresses in turn until one responds or a repetition is not safe.
   * The first call starts with a random address, later calls start with the
   * address that is in use.
   */
  function* tryAddresses<T>(call: PlatformCall<T>): Task<Result<T, Failure>> {
    let result: Result<T, Failure> = Err(
      createUnavailableFailure('No address.', false),
    );
    let mayHaveRun = false;
    for (let attempts = 0; attempts < addresses.length; attempts++) {
      const address = addresses[preferred] ?? '';
      const outcome = yield* waitFor(exchange(address, call.request, timeout));
      result = readOutcome(call, outcome);
      if (!shouldTryNextAddress(call, result)) {
        return result;
      }
      mayHaveRun ||= result.err && result.val.outcome === 'unknown';
      preferred = (preferred + 1) % addresses.length;
    }
    return result.mapErr(failure =>
      mayHaveRun ? {...failure, outcome: 'unknown'} : failure,
    );
  }

  function* perform<T>(call: PlatformCall<T>): Task<Result<T, Failure>> {
    const isAcquired = yield* limiter.acquire(timeout);
    if (!isAcquired) {
      return Err(
        createUnavailableFailure('Too many requests wait for it.', false),
      );
    }
    try {
      return yield* tryAddresses(call);
    } finally {
      limiter.release();
    }
  }

  function run<T>(call: PlatformCall<T>) {
    return runtime.spawn('platform request', perform(call)).result;
  }

  return {
    readRow: (table, key) => run(PLATFORM_CALLS.readRow(table, key)),
    writeRow: (table, key, expectedVersion, value) =>
      run(PLATFORM_CALLS.writeRow(table, key, expectedVersion, value)),
    listRows: (table, after, limit) =>
      run(PLATFORM_CALLS.listRows(table, after, limit)),
    putObject: (digest, body) => run(PLATFORM_CALLS.putObject(digest, body)),
    getObject: digest => run(PLATFORM_CALLS.getObject(digest)),
    listInstances: () => run(PLATFORM_CALLS.listInstances()),
    close() {
      runtime.shutdown();
      exchanger.close();
    },
  };
}
