/** Reads outside of transactions: choosing, waiting, trying elsewhere. */
import {Failure, LogPosition, createFailure} from '@kelpstep/protocol';
import {remainingTime} from '@kelpstep/request-ledger';
import {Milliseconds, Task, sleep} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {ReadAttemptEnd, attemptRead} from './read_attempt';
import {createReadCandidates} from './read_candidates';
import type {ReadTarget} from './read_policy';
import type {ReadAnswer, ReadOptions, ReadRequest} from './read_types';

type Elsewhere = Extract<ReadAttemptEnd, {kind: 'elsewhere'}>;

/** Serves a read; a failure means that the caller got nothing of it. */
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

  function* pause(): Task<void> {
    rounds += 1;
    const wait = context.policies.backoff(rounds, random);
    yield* sleep(Math.max(0, Math.min(wait, remainingTime(context))));
  }

  /** Gives a failure if there shall be no other try. */
  function* prepareRetry(
    {id}: ReadTarget,
    {failure, wasSent}: Elsewhere,
  ): Task<Failure | undefined> {
    candidates.exclude(id);
    lastFailure = failure;
    if (!wasSent) {
      return undefined;
    }
    if (!context.retryBudget.withdraw()) {
      return failure;
    }
    context.notes.retries += 1;
    candidates.forgetBarrier();
    if (context.notes.retries > 1) {
      yield* pause();
    }
    return undefined;
  }

  /** All were tried: from the start after a pause, unless all are full. */
  function* startOver(): Task<Failure | undefined> {
    if (lastFailure.name === 'OVERLOADED') {
      return lastFailure;
    }
    yield* pause();
    candidates.includeAll();
    return undefined;
  }

  const wanted = request.seen ?? (yield* candidates.askBarrier());
  let isExhausted = false;
  if (wanted === undefined) {
    return Err(lastFailure);
  }
  while (remainingTime(context) > 0) {
    const targets = candidates.list(wanted);
    if (targets.length === 0 && isExhausted) {
      isExhausted = false;
      const failure = yield* startOver();
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
        mayAskBarrier: candidates.mayAskBarrier(),
      },
      random,
    );
    const chosen =
      plan.action === 'send'
        ? targets.find(({id}) => id === plan.target)
        : undefined;
    if (chosen !== undefined) {
      const end = yield* attemptRead(options, request, chosen, wanted);
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
      const position: LogPosition | undefined = yield* candidates.askBarrier();
      if (position === undefined) {
        return Err(lastFailure);
      }
    } else {
      return Err(lastFailure);
    }
  }
  return Err(lastFailure);
}
