/** Answers to statements, sent by targets to the proxy and by it to callers. */
import type {LogPosition} from '@kelpstep/protocol';

/** Meaning of an error for the statement that it answers. */
export interface ErrorMeaning {
  /** True if the statement certainly has had no effect and will have none. */
  readonly notRun: boolean;
  readonly meaning: string;
}

/** Errors of statement sessions by name. */
export const STATEMENT_ERRORS = {
  busy: {notRun: true, meaning: 'No room to run it now.'},
  lagging: {notRun: true, meaning: 'The log lacks the wanted position.'},
  readOnly: {notRun: true, meaning: 'The target does not lead.'},
  misrouted: {notRun: true, meaning: 'Another target has this address.'},
  tooManyConnections: {notRun: true, meaning: 'At the connection limit.'},
  notPrepared: {notRun: true, meaning: 'No prepared statement of this name.'},
  aborted: {notRun: true, meaning: 'The transaction was rolled back.'},
  notAuthorized: {notRun: true, meaning: 'No account holds this key.'},
  noDatabase: {notRun: true, meaning: 'No database of this name.'},
  malformed: {notRun: true, meaning: 'Not a statement that can run here.'},
  tooLarge: {notRun: true, meaning: 'The message is too large.'},
  failed: {notRun: false, meaning: 'The target failed while running it.'},
  timedOut: {notRun: false, meaning: 'No answer in time.'},
  inDoubt: {notRun: false, meaning: 'It may have run: its answer is lost.'},
} as const satisfies Record<string, ErrorMeaning>;

/** One of the names in `STATEMENT_ERRORS`. */
export type StatementErrorName = keyof typeof STATEMENT_ERRORS;

/** An error with a text for users. */
export interface StatementError {
  readonly name: StatementErrorName;
  readonly text: string;
}

/**
 * State of a session: outside a transaction, inside one, or in a failed one.
 */
export type TransactionState = 'idle' | 'open' | 'failed';

/** The complete answer to one statement. */
export interface StatementAnswer {
  readonly rows: readonly string[];
  /** The target's proof that it ran the statement; empty for local answers. */
  readonly receipt: string;
  readonly error: StatementError | undefined;
  readonly state: TransactionState;
  /**
   * End of the target's applied log; undefined in answers without a position.
   */
  readonly position: LogPosition | undefined;
}

/** An answer by the proxy itself, without rows, receipt, error or position. */
export function localAnswer(state: TransactionState): StatementAnswer {
  return {rows: [], receipt: '', error: undefined, state, position: undefined};
}

/** An error answer; its text defaults to the meaning of the error. */
export function errorAnswer(
  name: StatementErrorName,
  state: TransactionState,
  text: string = STATEMENT_ERRORS[name].meaning,
): StatementAnswer {
  return {...localAnswer(state), error: {name, text}};
}
