/** In-process client of the platform stand-in, for virtual time. */
import type {PlatformClient, PlatformReply} from '@kelpstep/platform';
import {Failure, createFailure} from '@kelpstep/protocol';
import {
  Deferred,
  Milliseconds,
  TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {Platform} from './platform';
import type {PlatformOperation} from './platform_faults';

/** Platform, timers and reachability of a client. */
export interface InProcessPlatformClientOptions {
  readonly platform: Platform;
  /** Timer of the client's host; a frozen host gets its answers on thaw. */
  readonly timer: TimerService;
  /** Timer of the platform, which runs while the client's host is frozen. */
  readonly platformTimer?: TimerService;
  /** False while the client is partitioned from the platform; default true. */
  readonly isReachable?: () => boolean;
  /** Time after which an unanswered call fails; 1000 ms by default. */
  readonly timeout?: Milliseconds;
}

const DEFAULT_TIMEOUT_MS: Milliseconds = 1000;

/** Creates a client; each client has its own reachability and timeout. */
export function createInProcessPlatformClient(
  options: InProcessPlatformClientOptions,
): PlatformClient {
  const {platform, timer} = options;
  const platformTimer = options.platformTimer ?? timer;
  const isReachable = options.isReachable ?? (() => true);
  const timeout = options.timeout ?? DEFAULT_TIMEOUT_MS;

  /** Handles a request on arrival and sends the answer, subject to faults. */
  function handleArrival<T>(
    operation: PlatformOperation,
    effect: () => Result<T, Failure>,
    answer: Deferred<Result<T, Failure>>,
    travelTime: Milliseconds,
  ): void {
    const {outage} = platform.faults();
    if (!isReachable() || outage === 'silent') {
      return;
    }
    const isLost = outage === 'none' && platform.recordCall(operation);
    const result =
      outage === 'none' ? effect() : Err(createFailure('PLATFORM_UNAVAILABLE'));
    if (!isLost) {
      timer.after(travelTime, () => {
        if (isReachable()) {
          answer.settle(result);
        }
      });
    }
  }

  function call<T>(
    operation: PlatformOperation,
    effect: () => Result<T, Failure>,
  ): PlatformReply<T> {
    const answer = createDeferred<Result<T, Failure>>();
    const {latency, slowness} = platform.faults();
    const travelTime = (latency + slowness) / 2;
    const cancelTimeout = timer.after(timeout, () =>
      answer.settle(Err(createFailure('PLATFORM_UNAVAILABLE'))),
    );
    answer.future.onSettled(cancelTimeout);
    platformTimer.after(travelTime, () =>
      handleArrival(operation, effect, answer, travelTime),
    );
    return answer.future;
  }

  return {
    readRow: (table, key) =>
      call('readRow', () => Ok(platform.readRow(table, key))),
    writeRow(table, key, expectedVersion, value) {
      const copy: unknown = structuredClone(value);
      return call('writeRow', () =>
        platform
          .writeRow(table, key, expectedVersion, copy)
          .mapErr(() => createFailure('VERSION_CONFLICT')),
      );
    },
    listRows: (table, after, limit) =>
      call('listRows', () => Ok(platform.listRows(table, after, limit))),
    putObject: (digest, body) =>
      call('putObject', () =>
        platform.putObject(digest, body)
          ? Ok(undefined)
          : Err(createFailure('INVALID_PARAMETERS')),
      ),
    getObject: digest =>
      call('getObject', () => {
        const body = platform.getObject(digest);
        return body === undefined
          ? Err(createFailure('OBJECT_MISSING'))
          : Ok(body);
      }),
    listInstances: () =>
      call('listInstances', () => Ok([...platform.listInstances()])),
  };
}
