/** Serves reads outside of transactions: selects targets, waits and retries. */
import {Failure, LogPosition, createFailure} from '@kelpstep/protocol';
import {remainingTime} from '@kelpstep/request-ledger';
import {Milliseconds, Task, sleep} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {ReadAttemptEnd, attemptRead} from './read_attempt';
import {createReadCandidates} from './read_candidates';
import type {ReadTarget} from './read_policy';
import type {ReadAnswer, ReadOptions, ReadRequest} from './read_types';

type RetryableEnd = Extract<ReadAttemptEnd, {kind: 'elsewhere'}>;

/**
 * Serves a read; retries at other targets until the deadline. A read that fails
 * has returned no data to the caller.
 */
export function* runRead(
  options: ReadOptions,
  request: ReadRequest,
): Task<Result<ReadAnswer, Failure>> {
  const {context, policy} = options;
  const {random} = context.runtime;
  const candidates = createReadCandidates(options);
  let lastFailure = createFailure('NO_FRESH_TARGET');
  let rounds = 0;
  let waited: Milliseconds = 0;

  function* backOff(): Task<void> {
    rounds += 1;
    const wait = context.policies.backoff(rounds, random);
    yield* sleep(Math.max(0, Math.min(wait, remainingTime(context))));
  }

  /** Returns a failure if the read must not be retried. */
  function* prepareRetry(
    {id}: ReadTarget,
    {failure, wasSent}: RetryableEnd,
  ): Task<Failure | undefined> {
    candidates.exclude(id);
    lastFailure = failure;
    if (!wasSent) {
      return undefined;
    }
    if (!context.retryBudget.withdraw()) {
      return failure;
    }
    context.metadata.retries += 1;
    candidates.allowBarrier();
    if (context.metadata.retries > 1) {
      yield* backOff();
    }
    return undefined;
  }

  /**
   * Makes all targets available again after a backoff, once every target has
   * been tried. Returns a failure if the last target was overloaded.
   */
  function* restartRound(): Task<Failure | undefined> {
    if (lastFailure.name === 'OVERLOADED') {
      return lastFailure;
    }
    yield* backOff();
    candidates.includeAll();
    return undefined;
  }

  const requiredPosition = request.seen ?? (yield* candidates.requestBarrier());
  let isExhausted = false;
  if (requiredPosition === undefined) {
    return Err(lastFailure);
  }
  while (remainingTime(context) > 0) {
    const targets = candidates.list(requiredPosition);
    if (targets.length === 0 && isExhausted) {
      isExhausted = false;
      const failure = yield* restartRound();
      if (failure !== undefined) {
        return Err(failure);
      }
      continue;
    }
    const plan = policy(
      {
        targets,
        maximumAge: request.maximumAge,
        remaining: remainingTime(context),
        waited,
        mayRequestBarrier: candidates.mayRequestBarrier(),
      },
      random,
    );
    const chosen =
      plan.action === 'send'
        ? targets.find(({id}) => id === plan.target)
        : undefined;
    if (chosen !== undefined) {
      const end = yield* attemptRead(
        options,
        request,
        chosen,
        requiredPosition,
      );
      if (end.kind === 'answered') {
        return Ok(end.answer);
      }
      if (end.kind === 'failed') {
        return Err(end.failure);
      }
      const failure = yield* prepareRetry(chosen, end);
      if (failure !== undefined) {
        return Err(failure);
      }
      isExhausted = true;
    } else if (plan.action === 'wait') {
      waited += plan.duration;
      yield* sleep(plan.duration);
    } else if (plan.action === 'ask-barrier') {
      const position: LogPosition | undefined =
        yield* candidates.requestBarrier();
      if (position === undefined) {
        return Err(lastFailure);
      }
    } else {
      return Err(lastFailure);
    }
  }
  return Err(lastFailure);
}
