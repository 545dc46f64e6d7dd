/** Opens connections, and closes them if the attempt is abandoned. */
import {TargetStatus, createFailure, targetStatus} from '@kelpstep/protocol';
import type {
  Address,
  Connection,
  RequestFailure,
  RpcPeer,
  Transport,
  TransportError,
} from '@kelpstep/rpc';
import {Milliseconds, Task, waitWithTimeout} from '@kelpstep/runtime';
import {Err, Result} from 'ts-results';

const DIAL_TIMEOUT: TransportError = {
  kind: 'timeout',
  message: 'No connection in time.',
};

/** Failure of a request that was not sent because there is no connection. */
export const NOT_CONNECTED: RequestFailure = {
  kind: 'closed',
  sent: false,
  failure: createFailure('OUTCOME_UNKNOWN', {
    message: 'No control connection.',
    outcome: 'not_run',
  }),
};

const NO_ANSWER: RequestFailure = {
  kind: 'timeout',
  sent: true,
  failure: createFailure('OUTCOME_UNKNOWN', {message: 'No answer in time.'}),
};

/**
 * Opens a connection. If it is established only after the wait has timed out or
 * was cancelled, it is closed at once.
 */
export function* dialWithin(
  transport: Transport,
  address: Address,
  timeout: Milliseconds,
): Task<Result<Connection, TransportError>> {
  const dialling = transport.dial(address, timeout);
  let outcome: Result<Connection, TransportError> | undefined;
  try {
    outcome = yield* waitWithTimeout(dialling, timeout);
  } finally {
    if (outcome === undefined) {
      dialling.onSettled(late => {
        if (late.ok) {
          late.val.close('dialled in vain');
        }
      });
    }
  }
  return outcome ?? Err(DIAL_TIMEOUT);
}

/** Requests the status. Closes the connection if the wait is cancelled. */
export function* requestFirstStatus(
  peer: RpcPeer,
  timeout: Milliseconds,
): Task<Result<TargetStatus, RequestFailure>> {
  let ended = false;
  try {
    const answer = yield* waitWithTimeout(
      peer.request(targetStatus, {}, timeout),
      timeout,
    );
    ended = true;
    return answer ?? Err(NO_ANSWER);
  } finally {
    if (!ended) {
      peer.close('dialled in vain');
    }
  }
}
