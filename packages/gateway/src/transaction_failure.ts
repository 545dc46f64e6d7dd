/** Pure functions for answers and session states after a failed transaction. */
import {
  type SessionStatement,
  type StatementAnswer,
  type StatementErrorName,
  type TransactionState,
  errorAnswer,
  localAnswer,
} from '@kelpstep/statements';

/** Reason of a failure without an answer that tells the outcome. */
export const LOST_ANSWER = 'answer lost';

/** Reason of a failure because this proxy or its peer is stopping. */
export const STOPPING = 'stopping';

/** Why a statement of a transaction failed. */
export type FailureReason =
  StatementErrorName | typeof LOST_ANSWER | typeof STOPPING;

/** A session's next state and the answer that reports it. */
export interface SessionTransition {
  readonly state: TransactionState;
  readonly answer: StatementAnswer;
}

/**
 * A failed commit or rollback still ends the transaction; any other failed
 * statement leaves the session in the failed state.
 */
export function stateAfterFailure({kind}: SessionStatement): TransactionState {
  return kind === 'commit' || kind === 'rollback' ? 'idle' : 'failed';
}

function transitionTo(
  state: TransactionState,
  answer: (state: TransactionState) => StatementAnswer,
): SessionTransition {
  return {state, answer: answer(state)};
}

/**
 * A transaction that fails before its commit is sent is rolled back by closing
 * its connection. A failed commit of writes may have taken effect, unless the
 * target has refused it.
 */
export function failTransaction(
  statement: SessionStatement,
  reason: FailureReason,
  hasWritten: boolean,
): SessionTransition {
  const state = stateAfterFailure(statement);
  if (statement.kind === 'rollback') {
    return transitionTo(state, localAnswer);
  }
  const isInDoubt =
    statement.kind === 'commit' &&
    hasWritten &&
    reason !== 'readOnly' &&
    reason !== 'busy';
  return transitionTo(state, next =>
    isInDoubt
      ? errorAnswer('inDoubt', next)
      : errorAnswer('aborted', next, `rolled back: ${reason}`),
  );
}

/**
 * Answers a statement in a transaction that has already failed. A commit or
 * rollback ends the transaction; all other statements are refused.
 */
export function answerInFailedTransaction(
  statement: SessionStatement,
): SessionTransition {
  switch (statement.kind) {
    case 'rollback':
      return transitionTo('idle', localAnswer);
    case 'commit':
      return transitionTo('idle', state => errorAnswer('aborted', state));
    default:
      return transitionTo('failed', state => errorAnswer('malformed', state));
  }
}
