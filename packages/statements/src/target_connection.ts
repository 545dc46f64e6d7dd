/** Connections to targets of statement sessions; an adapter implements them. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {StatementAnswer} from './answer';
import type {SessionStatement} from './session_statement';

/** Asks for nothing but clears the connection's settings. */
export interface ResetOrder {
  readonly kind: 'reset';
}

/** Asks how the target sees itself. */
export interface StatusOrder {
  readonly kind: 'status';
}

/** Stops a replica from receiving, at a term above the newest. */
export interface PauseOrder {
  readonly kind: 'pause';
  readonly term: number;
}

/** Lets a paused replica receive again. */
export interface ResumeOrder {
  readonly kind: 'resume';
}

/** Makes a primary of a lower term a replica. */
export interface DemoteOrder {
  readonly kind: 'demote';
  readonly term: number;
}

/** What the proxy itself asks of a target. */
export type TargetOrder =
  ResetOrder | StatusOrder | PauseOrder | ResumeOrder | DemoteOrder;

/** One message to a target. */
export interface TargetRequest {
  /** The caller's id; undefined for what the proxy asks itself. */
  readonly id?: string;
  readonly body: SessionStatement | TargetOrder;
  /** The target refuses unless its log holds this position. */
  readonly after?: LogPosition;
}

/** How a target sees itself. */
export interface TargetStatus {
  readonly role: 'primary' | 'replica';
  /** Term that it serves in. */
  readonly term: number;
  /** End of its log with what is received and not yet applied. */
  readonly received: LogPosition;
  /** Highest term that it was told of. */
  readonly termHeld: number;
}

/** Why a connection gave no answer. */
export type ConnectionLoss = 'closed' | 'timed out';

/** An open connection: requests are answered in order. */
export interface TargetConnection {
  /** Sends requests in one write; settles with all their answers. */
  send(
    requests: readonly TargetRequest[],
    timeout: Milliseconds,
  ): Future<Result<readonly StatementAnswer[], ConnectionLoss>>;
  isOpen(): boolean;
  close(): void;
  /** Called once when the connection has ended, by whichever side. */
  onClosed(listener: () => void): void;
}

/** Why no connection could be opened. */
export type OpenFailure =
  'refused' | 'timed out' | 'misrouted' | 'tooManyConnections';

/** Where a target is and what it must say it is. */
export interface TargetAddress {
  readonly address: string;
  readonly group: string;
  readonly target: string;
}

/** Who a connection is opened for; undefined: the proxy itself. */
export type ConnectionUser = string | undefined;

/**
 * Opens a connection for one user alone, and settles when its start was answered. First requests go with the start,
 * in one write: their answers come a round trip earlier.
 */
export type OpenTargetConnection = (
  target: TargetAddress,
  user: ConnectionUser,
  timeout: Milliseconds,
  firstRequests?: readonly TargetRequest[],
) => Future<Result<OpenedConnection, OpenFailure>>;

/** A new connection and the log's end that its start was answered with. */
export interface OpenedConnection {
  readonly connection: TargetConnection;
  readonly position: LogPosition | undefined;
  /** Answers to the first requests. */
  readonly firstAnswers: readonly StatementAnswer[];
}

/** Reads the row that a status order is answered with. */
export type ReadTargetStatus = (
  answer: StatementAnswer,
) => TargetStatus | undefined;
