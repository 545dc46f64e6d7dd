/** The log of a stand-in target, with its received and applied ends. */
import {
  EMPTY_LOG_END,
  type LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

import type {LogRecord} from './run_record';

/** A log that applies received records after a delay. */
export interface TargetLog {
  records(): readonly LogRecord[];
  /** End of the received records. */
  received(): LogPosition;
  /** End of the applied records. */
  applied(): LogPosition;
  /**
   * Appends new records that follow a position and applies them after the
   * delay. Returns false if the log ends before that position.
   */
  receive(previous: LogPosition, records: readonly LogRecord[]): boolean;
  /** Appends a record and applies it immediately. */
  append(record: LogRecord): void;
  /** Removes the records that the primary's log doesn't hold. */
  rollBackTo(primaryLog: readonly LogRecord[]): void;
  applyAll(): void;
  /**
   * Restarts the process, with an empty log if it is wiped. Records that were
   * waiting to be applied wait until more records are received.
   */
  restart(wiped: boolean): void;
}

/** Creates an empty log. */
export function createTargetLog(
  timer: TimerService,
  applyDelay: () => Milliseconds,
): TargetLog {
  let log: LogRecord[] = [];
  let appliedCount = 0;
  let incarnationNumber = 0;

  function received(): LogPosition {
    return log[log.length - 1]?.position ?? EMPTY_LOG_END;
  }

  function applyLater(): void {
    const startIncarnation = incarnationNumber;
    const count = log.length;
    timer.after(applyDelay(), () => {
      if (incarnationNumber === startIncarnation) {
        appliedCount = Math.max(appliedCount, Math.min(count, log.length));
      }
    });
  }

  return {
    records: () => log,
    received,
    applied: () => log[appliedCount - 1]?.position ?? EMPTY_LOG_END,
    receive(previous, records) {
      if (compareLogPositions(previous, received()) > 0) {
        return false;
      }
      const newRecords = records.filter(
        ({position}) => compareLogPositions(position, received()) > 0,
      );
      log.push(...newRecords);
      applyLater();
      return true;
    },
    append(record) {
      log.push(record);
      appliedCount = log.length;
    },
    rollBackTo(primaryLog) {
      const ends = new Set(
        primaryLog.map(({position}) => `${position.term}.${position.position}`),
      );
      log = log.filter(({position}) =>
        ends.has(`${position.term}.${position.position}`),
      );
      appliedCount = Math.min(appliedCount, log.length);
    },
    applyAll() {
      appliedCount = log.length;
    },
    restart(wiped) {
      incarnationNumber += 1;
      log = wiped ? [] : log;
      appliedCount = Math.min(appliedCount, log.length);
    },
  };
}
