/** How sessions end, and what they answer, while the gateway stops. */
import {
  type SessionStatement,
  type StatementAnswer,
  errorAnswer,
} from '@kelpstep/statements';

import {DEFAULT_RETRY_AFTER_MS, refusalAnswer} from './dispatch_types';
import {STOPPING, failTransaction} from './transaction_failure';

/**
 * Phase of a stop. `endingSessions`: sessions end once they are idle and have
 * answered what they have read. `endingTransactions`: transactions are rolled
 * back between two statements as well, and no further statement is run.
 */
export type StopPhase = 'serving' | 'endingSessions' | 'endingTransactions';

/** Refuses a statement that has been read, but is not run any more. */
export function refuseStopping(): StatementAnswer {
  return refusalAnswer(STOPPING, DEFAULT_RETRY_AFTER_MS);
}

/**
 * Refuses a statement of a relayed transaction that is rolled back instead. The
 * error is one that all versions take as proof that a commit has not run.
 */
export function refuseInTransaction(): StatementAnswer {
  return errorAnswer('busy', 'failed', STOPPING);
}

/**
 * Answers a statement whose result is not known when the process ends. Open
 * transactions are rolled back then, as their connections are closed.
 */
export function answerUnfinished(
  statement: SessionStatement,
  isWrite: boolean,
  transaction: {readonly hasWritten: boolean} | undefined,
): StatementAnswer {
  if (transaction !== undefined) {
    return failTransaction(statement, STOPPING, transaction.hasWritten).answer;
  }
  return errorAnswer(isWrite ? 'inDoubt' : 'aborted', 'idle');
}
