/** Calls of a service that are waited for, and repeated, until a deadline. */
import {Failure, createFailure} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  sleep,
  waitAtMost,
} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

/** Starts a call. */
export type ServiceCall<T> = () => Future<Result<T, Failure>>;

/** Calls with a common deadline. */
export interface PatientCalls {
  /** Sends once; after the deadline the answer counts as lost. */
  once<T>(call: ServiceCall<T>): Task<Result<T, Failure>>;
  /** Repeats an idempotent call while the service is out. */
  persist<T>(call: ServiceCall<T>): Task<Result<T, Failure>>;
  /** Pauses before a repetition; false if there is no time for one. */
  mayRepeat(): Task<boolean>;
}

const RETRY_INTERVAL = 200;
const RETRY_JITTER = 0.5;

/** Creates calls that end at a monotonic deadline. */
export function createPatientCalls(
  runtime: Runtime,
  deadline: Milliseconds,
): PatientCalls {
  const {timer, random} = runtime;

  function* once<T>(call: ServiceCall<T>): Task<Result<T, Failure>> {
    const answer = yield* waitAtMost(call(), deadline - timer.now());
    return answer ?? Err(createFailure('PLATFORM_UNAVAILABLE'));
  }

  function* mayRepeat(): Task<boolean> {
    const pause = random.jitter(RETRY_INTERVAL, RETRY_JITTER);
    if (timer.now() + pause >= deadline) {
      return false;
    }
    yield* sleep(pause);
    return true;
  }

  function* persist<T>(call: ServiceCall<T>): Task<Result<T, Failure>> {
    for (;;) {
      const answer = yield* once(call);
      const isOut = answer.err && answer.val.name === 'PLATFORM_UNAVAILABLE';
      if (!isOut || !(yield* mayRepeat())) {
        return answer;
      }
    }
  }

  return {once, persist, mayRepeat};
}
