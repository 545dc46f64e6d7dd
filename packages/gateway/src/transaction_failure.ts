/**
 * What callers are told when a transaction fails, and in which state their session is
 * then. Without input and output.
 */
import {
  type SessionStatement,
  type StatementAnswer,
  type StatementErrorName,
  type TransactionState,
  errorAnswer,
  localAnswer,
} from '@kelpstep/statements';

/** Why a statement of a transaction failed. */
export type FailureReason = StatementErrorName | 'answer lost';

/** A session's state, and the answer that leads to it. */
export interface SessionStep {
  readonly state: TransactionState;
  readonly answer: StatementAnswer;
}

/** After a statement that would have ended it a session is outside transactions. */
export function stateAfterFailure({kind}: SessionStatement): TransactionState {
  return kind === 'commit' || kind === 'rollback' ? 'idle' : 'failed';
}

function stepTo(
  state: TransactionState,
  answer: (state: TransactionState) => StatementAnswer,
): SessionStep {
  return {state, answer: answer(state)};
}

/**
 * A transaction that failed before its commit was sent is rolled back by closing its
 * connection. A commit that wrote may have taken effect.
 */
export function failTransaction(
  statement: SessionStatement,
  reason: FailureReason,
  hasWritten: boolean,
): SessionStep {
  const state = stateAfterFailure(statement);
  if (statement.kind === 'rollback') {
    return stepTo(state, localAnswer);
  }
  const isInDoubt =
    statement.kind === 'commit' &&
    hasWritten &&
    reason !== 'readOnly' &&
    reason !== 'busy';
  return stepTo(state, next =>
    isInDoubt
      ? errorAnswer('inDoubt', next)
      : errorAnswer('aborted', next, `rolled back: ${reason}`),
  );
}

/** Answers a statement inside a transaction that has failed before. */
export function answerInFailed(statement: SessionStatement): SessionStep {
  switch (statement.kind) {
    case 'rollback':
      return stepTo('idle', localAnswer);
    case 'commit':
      return stepTo('idle', state => errorAnswer('aborted', state));
    default:
      return stepTo('failed', state => errorAnswer('malformed', state));
  }
}
