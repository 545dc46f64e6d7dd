/** Options and interface of a stand-in target. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {StatementAnswer, TargetRequest} from '@kelpstep/statements';

import type {LogRecord, RunRecorder} from './run_record';

/** Identity, capacity and fault injection of a target. */
export interface StandInTargetOptions {
  readonly timer: TimerService;
  readonly target: string;
  readonly group: string;
  readonly slots: number;
  readonly statementDuration: Milliseconds;
  /** Time for which a new connection occupies a slot. */
  readonly connectionSetupDuration: Milliseconds;
  readonly recorder: RunRecorder;
  /** Returns the delay between receiving a record and applying it. */
  applyDelay(): Milliseconds;
  /**
   * Returns the delay of the next pause, resume or demote command. A delayed
   * command is not answered; 0 executes and answers it immediately.
   */
  commandDelay(): Milliseconds;
  /** True if a commit occupies a slot until a replica has received it. */
  readonly commitsHoldSlots?: boolean;
  /** True if a status request is refused while all slots are occupied. */
  readonly statusNeedsSlot?: boolean;
  /** Called when a commit is acknowledged to its session. */
  onAcknowledged?(record: LogRecord): void;
  /** Called when a primary has appended a record, to replicate it. */
  onAppended(previous: LogPosition, record: LogRecord): void;
}

/** A target and its test controls. */
export interface StandInTarget {
  readonly target: string;
  role(): 'primary' | 'replica';
  term(): number;
  log(): readonly LogRecord[];
  received(): LogPosition;
  applied(): LogPosition;
  isRunning(): boolean;
  /** True if replication is paused by a command. */
  isPaused(): boolean;
  /** Time of the last start without a log; 0 before the first one. */
  startedAt(): Milliseconds;
  /** Faults that tests switch on. */
  readonly faults: StandInTargetFaults;
  /** Stops the process and ends its sessions. */
  stop(): void;
  /** Starts the process as a replica, with an empty log if it is wiped. */
  start(wiped: boolean): void;
  /** Blocks or unblocks the receipt of records. */
  setReplicationBlocked(isBlocked: boolean): void;
  isReplicationBlocked(): boolean;
  /** Appends records that follow a position; false if it can't take them. */
  receive(
    term: number,
    previous: LogPosition,
    records: readonly LogRecord[],
  ): boolean;
  /**
   * Makes the target a replica in a term, with the log of that term's primary.
   */
  follow(term: number, log: readonly LogRecord[]): void;
  /** Makes the target the primary of a term. */
  becomePrimary(term: number): void;
  /** Reports that a replica has received the log up to a position. */
  acknowledge(position: LogPosition): void;
  /** Opens a session, in a slot if opening takes time. */
  open(user: string | undefined, done: (session: number) => void): void;
  /** Number of open sessions. */
  connections(): number;
  endSession(session: number): void;
  /** Handles a request of a session; `answer` may never be called. */
  handle(
    session: number,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void;
}

/** Faults of a target that runs; none by default. */
export interface StandInTargetFaults {
  /** Error that answers all statements that are to run. */
  refusal: 'busy' | 'lagging' | undefined;
  /** True if the target refuses to open connections. */
  refusesConnections: boolean;
  /** Outcome of the next read; `unanswered` reads take no slot. */
  readOutcome(): 'answered' | 'unanswered' | 'failed';
  /** Factor of the duration of reads. */
  slowness: number;
}
