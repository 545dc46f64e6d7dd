/** What a group of targets reports for logs and metrics. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {OutlierEvent} from './outlier_detection';

/**
 * Change of the list of targets. `lapsed`: its registration is missing, but it
 * answers.
 */
export type TargetEvent = 'added' | 'lapsed' | 'gone' | 'restarted';

/**
 * Receives changes of a group's targets and leader for the log, and
 * measurements for metrics.
 */
export interface TargetGroupEvents {
  onReachability(target: string, isReached: boolean, reason: string): void;
  /** `logEnd` is the end of its log when it was first seen to lead. */
  onLeader(target: string, term: number, logEnd: LogPosition): void;
  /** Called for an acknowledged commit, whose position is above `after`. */
  onCommit(target: string, after: LogPosition): void;
  onTarget(target: string, event: TargetEvent): void;
  /** Called when a connection to a target was opened, for any use. */
  onConnectionOpened(target: string): void;
  /** Called when a statement starts, with the time that it was queued. */
  onStatementStart(target: string, queueTime: Milliseconds): void;
  onOutlier(event: OutlierEvent): void;
}
