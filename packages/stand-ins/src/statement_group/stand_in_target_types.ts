/** What a stand-in target is made of, and what a test may do to it. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {StatementAnswer, TargetRequest} from '@kelpstep/statements';

import type {LogRecord, RunRecorder} from './run_record';

/** How a target behaves. */
export interface StandInTargetOptions {
  readonly timer: TimerService;
  readonly target: string;
  readonly group: string;
  readonly slots: number;
  readonly workTime: Milliseconds;
  /** Time of a slot that a new connection takes. */
  readonly openingTime: Milliseconds;
  readonly recorder: RunRecorder;
  /** Time between a record's arrival and its application. */
  applyDelay(): Milliseconds;
  /** How late an order is carried out, without an answer; 0: at once. */
  orderDelay(): Milliseconds;
  /** A primary's record is on its way to the replicas. */
  onAppended(previous: LogPosition, record: LogRecord): void;
}

/** A target with what a test may do to it. */
export interface StandInTarget {
  readonly target: string;
  role(): 'primary' | 'replica';
  term(): number;
  log(): readonly LogRecord[];
  received(): LogPosition;
  applied(): LogPosition;
  isRunning(): boolean;
  /** True if it was told to receive nothing. */
  isPaused(): boolean;
  /** Loses its connections; a wiped one starts empty. */
  stop(): void;
  start(wiped: boolean): void;
  /** Receives nothing while it is deaf. */
  setDeaf(deaf: boolean): void;
  /** Takes records that follow a position; false if it lacks that one. */
  receive(
    term: number,
    previous: LogPosition,
    records: readonly LogRecord[],
  ): boolean;
  follow(term: number, log: readonly LogRecord[]): void;
  lead(term: number): void;
  /** A replica has received up to here. */
  acknowledge(position: LogPosition): void;
  /** Takes a new connection once a slot had the time for it. */
  open(user: string | undefined, done: (session: number) => void): void;
  /** Connections that are open. */
  connections(): number;
  endSession(session: number): void;
  handle(
    session: number,
    request: TargetRequest,
    answer: (answer: StatementAnswer) => void,
  ): void;
}
