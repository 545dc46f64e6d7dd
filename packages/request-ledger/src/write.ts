/** Writes that run at most once. */
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
import {keyExpired} from './idempotency_key';
import {
  PrimaryAttempt,
  PrimaryCalls,
  createPrimaryCalls,
} from './primary_calls';
import type {RequestContext} from './request_context';
import {settleKey} from './settle_key';

/** A write. */
export interface WriteRequest {
  readonly statement: Statement;
  readonly key: IdempotencyKey;
}

/** The failure of a write of which nobody knows whether it ran. */
export function outcomeUnknown(key: IdempotencyKey): Failure {
  const details = [`key.id: ${key.id}`, `key.issuedAt: ${key.issuedAt}`];
  return createFailure('OUTCOME_UNKNOWN', {details});
}

/**
 * Runs a write and waits until it is confirmed. The same key goes with every
 * attempt, so that a lost answer is asked for again from whoever is primary.
 * "Not run" is told only if no attempt can have run, or if the key is known,
 * by a confirmed record, never to run.
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
      return Err(calls.mayHaveRun() ? outcomeUnknown(key) : outcome.failure);
    }
    if (outcome.kind === 'refused') {
      const {failure, leadership} = outcome;
      const isCertain = yield* verifyPrimary(context, leadership.term);
      const final = isCertain
        ? yield* concludeRefusal(context, calls, key, failure)
        : concludeUnverified(context, calls, key, failure);
      if (final !== undefined) {
        return final;
      }
      continue;
    }
    const {reply} = outcome.attempt;
    if (reply.err) {
      continue;
    }
    const fate = yield* awaitConfirmation(context, reply.val.at);
    if (fate === 'confirmed') {
      return Ok(reply.val);
    }
    if (fate === 'undecided') {
      return Err(outcomeUnknown(key));
    }
    // Superseded: the record is gone for good, so it is run again.
  }
}

/** Ends a write that the confirmed primary refused. */
function* concludeRefusal(
  context: RequestContext,
  calls: PrimaryCalls,
  key: IdempotencyKey,
  failure: Failure,
): Task<Result<Execution, Failure>> {
  if (failure.name === 'KEY_EXPIRED') {
    return Err(keyExpired());
  }
  const isAboutKey =
    failure.name === 'KEY_CANCELLED' || failure.name === 'KEY_MISMATCH';
  if (isAboutKey || !calls.mayHaveRun()) {
    return Err(failure);
  }
  // An earlier attempt may be on its way yet, and may find other data.
  const settled = yield* settleKey(context, key);
  if (settled.err) {
    return Err(outcomeUnknown(key));
  }
  return settled.val.state === 'recorded'
    ? Ok(settled.val.execution)
    : Err(failure);
}

/** A refusal by a primary that was replaced; `undefined`: ask again. */
function concludeUnverified(
  context: RequestContext,
  calls: PrimaryCalls,
  key: IdempotencyKey,
  failure: Failure,
): Result<Execution, Failure> | undefined {
  if (context.runtime.timer.now() < context.deadline) {
    return undefined;
  }
  const isAboutKey =
    failure.name.startsWith('KEY_') && failure.name !== 'KEY_FROM_FUTURE';
  return isAboutKey || calls.mayHaveRun()
    ? Err(outcomeUnknown(key))
    : Err(createFailure('TIMED_OUT'));
}
