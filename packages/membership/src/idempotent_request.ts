/**
 * Idempotent requests to peers. An open connection can go silent while new
 * ones work, so a request that gets no answer is sent once more, on a fresh
 * connection if the first is silent, before the peer counts as silent.
 */
import type {Failure, Method} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import {Future, Milliseconds, Runtime, Task, waitFor} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** Sends a request once, and drops a connection that it finds silent. */
export type PeerRequest = <P, R>(
  address: string,
  method: Method<P, R>,
  parameters: P,
  timeout: Milliseconds,
) => Future<Result<R, RequestFailure>>;

/** Sends an idempotent request; settles within the timeout. */
export type IdempotentRequest = <P, R>(
  address: string,
  method: Method<P, R>,
  parameters: P,
  timeout: Milliseconds,
) => Future<Result<R, Failure>>;

/** Share of the timeout that the first attempt gets. */
const FIRST_ATTEMPT_SHARE = 0.5;

/** True if the peer has answered, if only to refuse. */
function isAnswer({kind}: RequestFailure): boolean {
  return kind === 'refused' || kind === 'malformed';
}

/** Puts the second attempt on requests that are sent once. */
export function createIdempotentRequest(
  runtime: Runtime,
  request: PeerRequest,
): IdempotentRequest {
  const {timer} = runtime;

  function* send<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Task<Result<R, Failure>> {
    const deadline = timer.now() + timeout;
    const patience = timeout * FIRST_ATTEMPT_SHARE;
    const first = yield* waitFor(
      request(address, method, parameters, patience),
    );
    if (first.ok || isAnswer(first.val)) {
      return first.mapErr(({failure}) => failure);
    }
    const remaining = Math.max(1, deadline - timer.now());
    const second = yield* waitFor(
      request(address, method, parameters, remaining),
    );
    return second.mapErr(({failure}) => failure);
  }

  return (address, method, parameters, timeout) =>
    runtime.spawn('peer request', send(address, method, parameters, timeout))
      .result;
}
