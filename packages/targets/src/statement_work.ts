/** Statements that are handed to a target's link, and what becomes of them. */
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

/** A statement outside a transaction, or the start of one. */
export interface StatementWork {
  /** Names statements that take about the same time. */
  readonly kind: string;
  readonly worth: number;
  /** Monotonic time by which the answer must be there. */
  readonly deadline: Milliseconds;
  /** Who the connection must have been opened for. */
  readonly user: ConnectionUser;
  readonly settings: SessionSettings;
  readonly shape: PreparedShape | undefined;
  readonly request: TargetRequest;
  /** True once nobody waits for the answer any more. */
  isAbandoned(): boolean;
  /** Called as it is sent to the target. */
  onSent(): void;
}

/** What became of a statement. */
export type StatementOutcome =
  | {readonly kind: 'answered'; readonly answer: StatementAnswer}
  /** Refused here: nothing was sent. */
  | {readonly kind: 'refused'; readonly retryAfter: Milliseconds}
  /** No connection could be had: nothing was sent. */
  | {readonly kind: 'unreached'; readonly failure: OpenFailure}
  /** Sent, and no answer came. */
  | {readonly kind: 'lost'};

/** A connection that a transaction keeps. */
export interface PinnedConnection {
  readonly target: string;
  /** Sends a statement; the session's settings are applied before it. */
  send(
    request: TargetRequest,
    shape: PreparedShape | undefined,
    timeout: Milliseconds,
  ): Future<Result<StatementAnswer, ConnectionLoss>>;
  /** Gives the connection back; one inside a transaction is closed. */
  end(): void;
}

/** What became of the start of a transaction. */
export interface PinnedStart {
  readonly outcome: StatementOutcome;
  /** There if the target has begun the transaction. */
  readonly pinned: PinnedConnection | undefined;
}
