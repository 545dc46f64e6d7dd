/** Calls to the platform, with or without retries, until a deadline. */
import {Failure, createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  sleep,
  waitWithTimeout,
} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

/** Starts a call; called once per attempt. */
export type ServiceCall<T> = () => Future<Result<T, Failure>>;

/** Calls that share a deadline. */
export interface RetryingCalls {
  /**
   * Calls once, without retries; the call fails with `PLATFORM_UNAVAILABLE` at
   * the deadline.
   */
  once<T>(call: ServiceCall<T>): Task<Result<T, Failure>>;
  /**
   * Repeats an idempotent call while the platform is unavailable, until the
   * deadline.
   */
  retry<T>(call: ServiceCall<T>): Task<Result<T, Failure>>;
  /** Waits before the next try. Returns false if the deadline is too close. */
  backOff(): Task<boolean>;
}

const RETRY_BACKOFF_MS = 200;
const RETRY_JITTER_RATIO = 0.5;

/**
 * Creates retrying calls; `deadline` is a time of the runtime's monotonic
 * clock.
 */
export function createRetryingCalls(
  runtime: Runtime,
  deadline: Milliseconds,
): RetryingCalls {
  const {timer, random} = runtime;

  function* once<T>(call: ServiceCall<T>): Task<Result<T, Failure>> {
    const answer = yield* waitWithTimeout(call(), deadline - timer.now());
    return answer ?? Err(createFailure('PLATFORM_UNAVAILABLE'));
  }

  function* backOff(): Task<boolean> {
    const backoff = random.jitter(RETRY_BACKOFF_MS, RETRY_JITTER_RATIO);
    if (timer.now() + backoff >= deadline) {
      return false;
    }
    yield* sleep(backoff);
    return true;
  }

  function* retry<T>(call: ServiceCall<T>): Task<Result<T, Failure>> {
    for (;;) {
      const answer = yield* once(call);
      const isUnavailable =
        answer.err && answer.val.name === 'PLATFORM_UNAVAILABLE';
      if (!isUnavailable || !(yield* backOff())) {
        return answer;
      }
    }
  }

  return {once, retry, backOff};
}
