/** One try of a read at one target. */
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

/** How a try ended. */
export type ReadAttemptEnd =
  | {readonly kind: 'answered'; readonly answer: ReadAnswer}
  | {readonly kind: 'failed'; readonly failure: Failure}
  /** Another target may do better. If nothing was sent, that is no retry. */
  | {
      readonly kind: 'elsewhere';
      readonly failure: Failure;
      readonly wasSent: boolean;
    };

/** Sends a read to a target and judges what comes back. */
export function* attemptRead(
  options: ReadOptions,
  request: ReadRequest,
  candidate: ReadTarget,
  wanted: LogPosition,
): Task<ReadAttemptEnd> {
  const {context, record} = options;
  const pool = record.pool(candidate.id);
  if (pool === undefined) {
    return elsewhere('NO_FRESH_TARGET', false);
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
  context.notes.queueTime += attempt.queueTime;
  return attempt.reply.ok
    ? yield* checkAnswer(options, request, candidate, wanted, attempt.reply.val)
    : judgeFailure(options, candidate, attempt.reply.val);
}

function elsewhere(
  name: 'NO_FRESH_TARGET' | 'TIMED_OUT',
  wasSent: boolean,
): ReadAttemptEnd {
  return {kind: 'elsewhere', failure: createFailure(name), wasSent};
}

function judgeFailure(
  {record}: ReadOptions,
  {id}: ReadTarget,
  {kind, sent, failure}: RequestFailure,
): ReadAttemptEnd {
  if (kind === 'timeout' || kind === 'closed') {
    record.view.observeSilence(id);
  }
  if (failure.name === 'OVERLOADED') {
    return {kind: 'elsewhere', failure, wasSent: sent};
  }
  return kind === 'refused' && failure.name === 'STATEMENT_FAILED'
    ? {kind: 'failed', failure}
    : elsewhere('TIMED_OUT', sent);
}

/**
 * An answer leaves only if it holds what the session has seen, if what it was
 * read from is confirmed, and while it is fresh enough.
 */
function* checkAnswer(
  {context, record}: ReadOptions,
  {maximumAge}: ReadRequest,
  {id, isPrimary}: ReadTarget,
  wanted: LogPosition,
  execution: Execution,
): Task<ReadAttemptEnd> {
  if (compareLogPositions(execution.at, wanted) < 0) {
    return elsewhere('NO_FRESH_TARGET', true);
  }
  const fate = yield* awaitConfirmation(context, execution.at);
  // By what was read, not by what the target held when it was chosen: it may
  // have started anew, with less, in between.
  const freshAt = record.view.freshAt(execution.at) ?? -Infinity;
  const age = context.runtime.timer.now() - freshAt;
  if (fate !== 'confirmed' || age > maximumAge) {
    return elsewhere('NO_FRESH_TARGET', true);
  }
  const role = isPrimary ? 'primary' : 'replica';
  return {kind: 'answered', answer: {execution, target: id, role, age}};
}
