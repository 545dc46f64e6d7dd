/** Statements that a target's link runs, and their outcomes. */
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {
  ConnectionLoss,
  ConnectionUser,
  OpenFailure,
  PreparedShape,
  SessionSettings,
  StatementAnswer,
  TargetRequest,
} from '@kelpstep/statements';
import type {Result} from 'ts-results';

/** A statement outside a transaction, or the begin of one. */
export interface StatementRequest {
  /** Name of a class of statements with similar service times. */
  readonly kind: string;
  /** Relative value of an answer before the deadline. */
  readonly worth: number;
  /** Monotonic time by which the answer is needed. */
  readonly deadline: Milliseconds;
  /** User that the connection must have been opened for. */
  readonly user: ConnectionUser;
  readonly settings: SessionSettings;
  readonly shape: PreparedShape | undefined;
  readonly request: TargetRequest;
  /** True once the caller no longer waits for the answer. */
  isAbandoned(): boolean;
  /** True if another target may run it instead; false by default. */
  readonly isMovable?: boolean;
  /** Called when the statement is sent to the target. */
  onSent(): void;
}

/** What decides which connections a statement may use. */
export interface ConnectionNeed {
  readonly user: ConnectionUser;
  /** Class of the statement, as in `StatementRequest`. */
  readonly kind: string;
  readonly isBegin: boolean;
}

/** When a statement is expected to get a connection. */
export interface ConnectionWait {
  /** Predicted time until a connection becomes free; 0 if one is. */
  readonly untilRelease: Milliseconds;
  /** True if all connections are pinned by transactions. */
  readonly isPinned: boolean;
}

/** Connections for statements to a target, and statements queued for it. */
export interface LinkLoad {
  /** Open connections that nothing uses. */
  readonly idle: number;
  /** Connections that single statements, or begins of transactions, use. */
  readonly used: number;
  /** Connections that transactions keep. */
  readonly pinned: number;
  readonly queued: number;
}

/** Whether a statement was answered, and if not, whether it was sent. */
export type StatementOutcome =
  | {readonly kind: 'answered'; readonly answer: StatementAnswer}
  /** Refused by admission, nothing was sent; `retryAfter` in milliseconds. */
  | {readonly kind: 'refused'; readonly retryAfter: Milliseconds}
  /** Left the queue of an ejected target; nothing was sent. */
  | {readonly kind: 'withdrawn'}
  /** No connection was available: nothing was sent. */
  | {readonly kind: 'unreached'; readonly failure: OpenFailure}
  /** Sent, but not answered. */
  | {readonly kind: 'lost'};

/** A connection that is pinned by a transaction until `end`. */
export interface PinnedConnection {
  readonly target: string;
  /** Applies the session's settings and sends a statement. */
  send(
    request: TargetRequest,
    shape: PreparedShape | undefined,
    timeout: Milliseconds,
  ): Future<Result<StatementAnswer, ConnectionLoss>>;
  /** Releases the connection; it is closed if a transaction is still open. */
  end(): void;
}

/** Outcome of beginning a transaction. */
export interface PinnedStart {
  readonly outcome: StatementOutcome;
  /**
   * The transaction's connection; set if the target has begun the transaction.
   */
  readonly pinned: PinnedConnection | undefined;
}
