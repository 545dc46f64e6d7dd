/** The log of a stand-in target: what it received and what it applied. */
import {
  EMPTY_LOG_END,
  type LogPosition,
  compareLogPositions,
} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

import type {LogRecord} from './run_record';

/** A log whose records are applied some time after they came. */
export interface TargetLog {
  records(): readonly LogRecord[];
  received(): LogPosition;
  applied(): LogPosition;
  /** Takes records that follow a position; false if it lacks that one. */
  receive(previous: LogPosition, records: readonly LogRecord[]): boolean;
  /** Adds a record and applies it at once. */
  append(record: LogRecord): void;
  /** Drops what the leader's log doesn't hold. */
  rollBackTo(leaderLog: readonly LogRecord[]): void;
  applyAll(): void;
  /** What was on its way to be applied is not, until it is received again. */
  restart(wiped: boolean): void;
}

/** Creates an empty log. */
export function createTargetLog(
  timer: TimerService,
  applyDelay: () => Milliseconds,
): TargetLog {
  let log: LogRecord[] = [];
  let appliedCount = 0;
  let life = 0;

  function received(): LogPosition {
    return log[log.length - 1]?.position ?? EMPTY_LOG_END;
  }

  function applyLater(): void {
    const startedIn = life;
    const count = log.length;
    timer.after(applyDelay(), () => {
      if (life === startedIn) {
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
      const fresh = records.filter(
        ({position}) => compareLogPositions(position, received()) > 0,
      );
      log.push(...fresh);
      applyLater();
      return true;
    },
    append(record) {
      log.push(record);
      appliedCount = log.length;
    },
    rollBackTo(leaderLog) {
      const ends = new Set(
        leaderLog.map(({position}) => `${position.term}.${position.position}`),
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
      life += 1;
      log = wiped ? [] : log;
      appliedCount = Math.min(appliedCount, log.length);
    },
  };
}
