/** Performs a single attempt of a read at one target. */
import {
  Execution,
  Failure,
  LogPosition,
  compareLogPositions,
  createFailure,
  targetExecute,
} from '@kelpstep/protocol';
import {awaitConfirmation, remainingTime} from '@kelpstep/request-ledger';
import type {RequestFailure} from '@kelpstep/rpc';
import {Task, waitFor} from '@kelpstep/runtime';

import type {ReadTarget} from './read_policy';
import type {ReadAnswer, ReadOptions, ReadRequest} from './read_types';

export type ReadAttemptEnd =
  | {readonly kind: 'answered'; readonly answer: ReadAnswer}
  | {readonly kind: 'failed'; readonly failure: Failure}
  /**
   * The read may be retried at another target. The attempt counts against the
   * retry budget only if the statement was sent.
   */
  | {
      readonly kind: 'elsewhere';
      readonly failure: Failure;
      readonly wasSent: boolean;
    };

/** Sends a read to a target and checks the answer. */
export function* attemptRead(
  options: ReadOptions,
  request: ReadRequest,
  candidate: ReadTarget,
  requiredPosition: LogPosition,
): Task<ReadAttemptEnd> {
  const {context, record} = options;
  const pool = record.pool(candidate.id);
  if (pool === undefined) {
    return retryElsewhere('NO_FRESH_TARGET', false);
  }
  const {kind, worth, deadline} = context;
  const timeout = context.policies.attemptTimeout({
    remaining: remainingTime(context),
    expected: candidate.expectedTime,
  });
  const attempt = yield* waitFor(
    pool.run({
      work: {kind, worth, deadline},
      method: targetExecute,
      parameters: {statement: request.statement, mode: 'read'},
      timeout,
    }),
  );
  context.metadata.queueTime += attempt.queueTime;
  return attempt.reply.ok
    ? yield* checkAnswer(
        options,
        request,
        candidate,
        requiredPosition,
        attempt.reply.val,
      )
    : classifyFailure(options, candidate, attempt.reply.val);
}

function retryElsewhere(
  name: 'NO_FRESH_TARGET' | 'TIMED_OUT',
  wasSent: boolean,
): ReadAttemptEnd {
  return {kind: 'elsewhere', failure: createFailure(name), wasSent};
}

function classifyFailure(
  {record}: ReadOptions,
  {id}: ReadTarget,
  {kind, sent, failure}: RequestFailure,
): ReadAttemptEnd {
  if (kind === 'timeout' || kind === 'closed') {
    record.view.reportUnresponsive(id);
  }
  if (failure.name === 'OVERLOADED') {
    return {kind: 'elsewhere', failure, wasSent: sent};
  }
  return kind === 'refused' && failure.name === 'STATEMENT_FAILED'
    ? {kind: 'failed', failure}
    : retryElsewhere('TIMED_OUT', sent);
}

/**
 * Accepts an answer only if it was read at or after the required position, if
 * the position that it was read at is confirmed, and if it is fresh enough.
 */
function* checkAnswer(
  {context, record}: ReadOptions,
  {maximumAge}: ReadRequest,
  {id, isPrimary}: ReadTarget,
  requiredPosition: LogPosition,
  execution: Execution,
): Task<ReadAttemptEnd> {
  if (compareLogPositions(execution.at, requiredPosition) < 0) {
    return retryElsewhere('NO_FRESH_TARGET', true);
  }
  const confirmation = yield* awaitConfirmation(context, execution.at);
  // Based on the position that was read, not on the target's state at
  // selection: the target may have restarted with a shorter log in between.
  const freshAt = record.view.freshAt(execution.at) ?? -Infinity;
  const age = context.runtime.timer.now() - freshAt;
  if (confirmation !== 'confirmed' || age > maximumAge) {
    return retryElsewhere('NO_FRESH_TARGET', true);
  }
  const role = isPrimary ? 'primary' : 'replica';
  return {kind: 'answered', answer: {execution, target: id, role, age}};
}
