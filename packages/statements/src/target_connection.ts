/** Connections to targets of statement sessions, implemented by an adapter. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {StatementAnswer} from './answer';
import type {SessionStatement} from './session_statement';

/**
 * Clears the variables and prepared statements of the connection. It has no
 * other effect, so it also serves to probe the end of the applied log.
 */
export interface ResetCommand {
  readonly kind: 'reset';
}

/** Requests a `TargetStatus`. */
export interface StatusCommand {
  readonly kind: 'status';
}

/**
 * Stops a replica from receiving log entries if `term` is above the replica's.
 */
export interface PauseCommand {
  readonly kind: 'pause';
  readonly term: number;
}

/** Lets a paused replica receive log entries again. */
export interface ResumeCommand {
  readonly kind: 'resume';
}

/** Demotes a primary to a replica if `term` is above the primary's. */
export interface DemoteCommand {
  readonly kind: 'demote';
  readonly term: number;
}

/** A command from the proxy itself to a target. */
export type TargetCommand =
  ResetCommand | StatusCommand | PauseCommand | ResumeCommand | DemoteCommand;

/** A statement or a command, as it is sent to a target. */
export interface TargetRequest {
  /**
   * The caller's id of the statement; undefined for begin statements, settings
   * and commands of the proxy itself.
   */
  readonly id?: string;
  readonly body: SessionStatement | TargetCommand;
  /** The target refuses the request unless its log includes this position. */
  readonly after?: LogPosition;
}

/** Status reported by a target. */
export interface TargetStatus {
  readonly role: 'primary' | 'replica';
  /** Current term of the target. */
  readonly term: number;
  /** End of its log, including entries received but not yet applied. */
  readonly received: LogPosition;
  /** Highest term known to the target. */
  readonly termHeld: number;
}

/** Why a request on a connection was not answered. */
export type ConnectionLoss = 'closed' | 'timed out';

/** An open connection, which answers requests in order. */
export interface TargetConnection {
  /** Sends requests in one write and settles with all their answers. */
  send(
    requests: readonly TargetRequest[],
    timeout: Milliseconds,
  ): Future<Result<readonly StatementAnswer[], ConnectionLoss>>;
  isOpen(): boolean;
  close(): void;
  /** `listener` is called once, when either side has closed the connection. */
  onClosed(listener: () => void): void;
}

/** Why no connection could be opened. */
export type OpenFailure =
  'refused' | 'timed out' | 'misrouted' | 'tooManyConnections';

/** Address of a target, and the identity that it must report. */
export interface TargetAddress {
  readonly address: string;
  readonly group: string;
  readonly target: string;
}

/** User that a connection is opened for; undefined for the proxy itself. */
export type ConnectionUser = string | undefined;

/**
 * Opens a connection for one user and settles when its start-up message was
 * answered. `firstRequests` are sent in the same write as the start-up message,
 * so their answers arrive a round trip earlier.
 */
export type OpenTargetConnection = (
  target: TargetAddress,
  user: ConnectionUser,
  timeout: Milliseconds,
  firstRequests?: readonly TargetRequest[],
) => Future<Result<OpenedConnection, OpenFailure>>;

/** A new connection, with the log position reported when it was opened. */
export interface OpenedConnection {
  readonly connection: TargetConnection;
  readonly position: LogPosition | undefined;
  /** Answers to `firstRequests`, in the same order. */
  readonly firstAnswers: readonly StatementAnswer[];
}

/** Parses the answer to a status command; undefined if it is malformed. */
export type ReadTargetStatus = (
  answer: StatementAnswer,
) => TargetStatus | undefined;
