/** Runs writes at most once. */
import {
  Execution,
  Failure,
  IdempotencyKey,
  Statement,
  createFailure,
  targetExecute,
} from '@kelpstep/protocol';
import type {Task} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {awaitConfirmation, verifyPrimary} from './confirm';
import {createKeyExpiredFailure} from './idempotency_key';
import {
  PrimaryAttempt,
  PrimaryCalls,
  createPrimaryCalls,
} from './primary_calls';
import type {RequestContext} from './request_context';
import {settleKey} from './settle_key';

export interface WriteRequest {
  readonly statement: Statement;
  readonly key: IdempotencyKey;
}

/** Creates the failure of a write that may or may not have run. */
export function createOutcomeUnknownFailure(key: IdempotencyKey): Failure {
  const details = [`key.id: ${key.id}`, `key.issuedAt: ${key.issuedAt}`];
  return createFailure('OUTCOME_UNKNOWN', {details});
}

/**
 * Runs a write and waits until it is confirmed. Every attempt has the same key,
 * so a lost answer can be requested again from the current primary. The failure
 * has the outcome `not_run` only if no attempt can have run, or if a confirmed
 * record shows that the key can never run.
 */
export function* runWrite(
  context: RequestContext,
  {statement, key}: WriteRequest,
): Task<Result<Execution, Failure>> {
  const calls = createPrimaryCalls(context);

  function send({pool, work, term, timeout}: PrimaryAttempt) {
    const parameters = {statement, mode: 'write' as const, term, key};
    return pool.run({work, method: targetExecute, parameters, timeout});
  }

  for (;;) {
    const outcome = yield* calls.call(send);
    if (outcome.kind === 'gave-up') {
      return Err(
        calls.mayHaveRun() ? createOutcomeUnknownFailure(key) : outcome.failure,
      );
    }
    if (outcome.kind === 'refused') {
      const {failure, leadership} = outcome;
      const isVerified = yield* verifyPrimary(context, leadership.term);
      const result = isVerified
        ? yield* resolveRefusal(context, calls, key, failure)
        : resolveUnverifiedRefusal(context, calls, key, failure);
      if (result !== undefined) {
        return result;
      }
      continue;
    }
    const {reply} = outcome.attempt;
    if (reply.err) {
      continue;
    }
    const confirmation = yield* awaitConfirmation(context, reply.val.at);
    if (confirmation === 'confirmed') {
      return Ok(reply.val);
    }
    if (confirmation === 'undecided') {
      return Err(createOutcomeUnknownFailure(key));
    }
    // A superseded record is permanently discarded, so the write is run again.
  }
}

/** Determines the result of a write that the verified primary refused. */
function* resolveRefusal(
  context: RequestContext,
  calls: PrimaryCalls,
  key: IdempotencyKey,
  failure: Failure,
): Task<Result<Execution, Failure>> {
  if (failure.name === 'KEY_EXPIRED') {
    return Err(createKeyExpiredFailure());
  }
  const isKeyFailure =
    failure.name === 'KEY_CANCELLED' || failure.name === 'KEY_MISMATCH';
  if (isKeyFailure || !calls.mayHaveRun()) {
    return Err(failure);
  }
  // An earlier attempt may still be in transit and may find other data.
  const settlement = yield* settleKey(context, key);
  if (settlement.err) {
    return Err(createOutcomeUnknownFailure(key));
  }
  return settlement.val.state === 'recorded'
    ? Ok(settlement.val.execution)
    : Err(failure);
}

/**
 * Determines the result of a write whose refusal by the primary could not be
 * verified; `undefined` if the write is to be retried.
 */
function resolveUnverifiedRefusal(
  context: RequestContext,
  calls: PrimaryCalls,
  key: IdempotencyKey,
  failure: Failure,
): Result<Execution, Failure> | undefined {
  if (context.runtime.timer.now() < context.deadline) {
    return undefined;
  }
  const isKeyFailure =
    failure.name.startsWith('KEY_') && failure.name !== 'KEY_FROM_FUTURE';
  return isKeyFailure || calls.mayHaveRun()
    ? Err(createOutcomeUnknownFailure(key))
    : Err(createFailure('TIMED_OUT'));
}
