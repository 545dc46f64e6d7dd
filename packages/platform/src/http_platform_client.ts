/** The platform's service over HTTP. */
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

import {Gate, createGate} from './gate';
import {HttpExchange, createHttpExchanger} from './http_exchange';
import {
  PLATFORM_CALLS,
  PlatformCall,
  readOutcome,
  unavailable,
} from './http_platform_calls';
import type {PlatformClient} from './platform_client';

/** What a client over HTTP is made of. */
export interface HttpPlatformClientOptions {
  /** `ip:port` of the platform's ends, tried in turn. */
  readonly addresses: readonly string[];
  readonly timer: TimerService;
  /** Picks the address that is tried first. */
  readonly random: Random;
  /** Longest wait for one answer. */
  readonly requestTimeout?: Milliseconds;
  /** Requests on their way at a time. */
  readonly concurrentRequests?: number;
  /** Requests that wait for their turn; more are refused at once. */
  readonly waitingRequests?: number;
  /** Replaces HTTP in tests. */
  readonly exchange?: HttpExchange;
}

/** A client that keeps connections. */
export interface HttpPlatformClient extends PlatformClient {
  /** Ends all connections. */
  close(): void;
}

const DEFAULT_REQUEST_TIMEOUT = 2000;
const DEFAULT_CONCURRENT_REQUESTS = 8;
const DEFAULT_WAITING_REQUESTS = 1000;

/** True if another address may do better. */
function worthAnotherAddress<T>(
  call: PlatformCall<T>,
  result: Result<T, Failure>,
): boolean {
  if (result.ok || result.val.name !== 'PLATFORM_UNAVAILABLE') {
    return false;
  }
  return call.idempotent || result.val.outcome === 'not_run';
}

/** Creates a client of the platform over HTTP. */
export function createHttpPlatformClient(
  options: HttpPlatformClientOptions,
): HttpPlatformClient {
  const {addresses, timer, random} = options;
  const timeout = options.requestTimeout ?? DEFAULT_REQUEST_TIMEOUT;
  const connections = options.concurrentRequests ?? DEFAULT_CONCURRENT_REQUESTS;
  const exchanger = createHttpExchanger({timer, connections});
  const exchange = options.exchange ?? exchanger.exchange;
  const runtime = createRuntime({timer, random});
  const gate: Gate = createGate({
    places: connections,
    waiting: options.waitingRequests ?? DEFAULT_WAITING_REQUESTS,
  });
  let preferred = random.integer(0, addresses.length - 1);

  /** Stays with the address that answered last. */
  function* tryAddresses<T>(call: PlatformCall<T>): Task<Result<T, Failure>> {
    let result: Result<T, Failure> = Err(unavailable('No address.', false));
    let mayHaveRun = false;
    for (let tries = 0; tries < addresses.length; tries++) {
      const address = addresses[preferred] ?? '';
      const outcome = yield* waitFor(exchange(address, call.request, timeout));
      result = readOutcome(call, outcome);
      if (!worthAnotherAddress(call, result)) {
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
    const entered = yield* gate.enter(timeout);
    if (!entered) {
      return Err(unavailable('Too many requests wait for it.', false));
    }
    try {
      return yield* tryAddresses(call);
    } finally {
      gate.leave();
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
