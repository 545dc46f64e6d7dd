/** Determines whether the write of an idempotency key has run. */
import {
  Failure,
  IdempotencyKey,
  KeyState,
  createFailure,
  targetSettleKey,
} from '@kelpstep/protocol';
import type {Task} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {awaitConfirmation} from './confirm';
import {createKeyExpiredFailure} from './idempotency_key';
import {PrimaryAttempt, createPrimaryCalls} from './primary_calls';
import type {RequestContext} from './request_context';

/** Returns the log position of the record that settles a key. */
export function settlementPosition(state: KeyState) {
  return state.state === 'recorded' ? state.execution.at : state.at;
}

/**
 * Finds the recorded execution of a key, or cancels the key so that it can
 * never run. Returns only once a majority holds the record that settles it. Any
 * failure means that the outcome is still unknown.
 */
export function* settleKey(
  context: RequestContext,
  key: IdempotencyKey,
): Task<Result<KeyState, Failure>> {
  const calls = createPrimaryCalls(context);

  function send({pool, work, term, timeout}: PrimaryAttempt) {
    const parameters = {term, key};
    return pool.run({work, method: targetSettleKey, parameters, timeout});
  }

  for (;;) {
    const outcome = yield* calls.call(send);
    if (outcome.kind !== 'answered') {
      return Err(createUnsettledFailure(outcome.failure));
    }
    const {reply} = outcome.attempt;
    if (reply.err) {
      continue;
    }
    const confirmation = yield* awaitConfirmation(
      context,
      settlementPosition(reply.val),
    );
    if (confirmation === 'confirmed') {
      return Ok(reply.val);
    }
    if (confirmation === 'undecided') {
      return Err(createFailure('OUTCOME_UNKNOWN'));
    }
  }
}

function createUnsettledFailure(failure: Failure): Failure {
  if (failure.name === 'KEY_EXPIRED') {
    return createKeyExpiredFailure();
  }
  const {message, retryAfter} = failure;
  return createFailure('OUTCOME_UNKNOWN', {
    message: `Ask again with the same key: ${message}`,
    ...(retryAfter === undefined ? {} : {retryAfter}),
  });
}
