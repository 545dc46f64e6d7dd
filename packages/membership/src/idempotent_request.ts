/**
 * Idempotent requests to peers. An open connection can become unresponsive
 * while new ones work. A request without a reply is therefore sent once more,
 * on a new connection if the first is unresponsive, before the peer counts as
 * unresponsive.
 */
import type {Failure, Method} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import {Future, Milliseconds, Runtime, Task, waitFor} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/** Sends a request once and closes the connection if it is unresponsive. */
export type PeerRequest = <P, R>(
  address: string,
  method: Method<P, R>,
  parameters: P,
  timeout: Milliseconds,
) => Future<Result<R, RequestFailure>>;

/** Sends an idempotent request up to twice; settles within the timeout. */
export type IdempotentRequest = <P, R>(
  address: string,
  method: Method<P, R>,
  parameters: P,
  timeout: Milliseconds,
) => Future<Result<R, Failure>>;

/** Share of the timeout for the first attempt. */
const FIRST_ATTEMPT_SHARE = 0.5;

/** True if the peer has answered, even with a refusal. */
function isAnswer({kind}: RequestFailure): boolean {
  return kind === 'refused' || kind === 'malformed';
}

/** Adds a second attempt to a function that sends requests once. */
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
    const firstTimeout = timeout * FIRST_ATTEMPT_SHARE;
    const first = yield* waitFor(
      request(address, method, parameters, firstTimeout),
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
