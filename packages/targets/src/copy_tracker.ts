/**
 * Tracks whether the replicas of a group hold all acknowledged commits. A
 * replica that leaves or loses its log takes its copies with it, and a new
 * primary may hold commits that the replicas have rolled back. The commits are
 * then certain to have another copy only once a replica has received all that
 * the primary's log held at a later time.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Leadership} from './group_positions';

/** What a tracker knows of the copies of commits. */
export interface CopyState {
  /**
   * Monotonic time since which commits may have no copy besides the primary's;
   * undefined once a replica has received them. -Infinity: nothing was observed
   * yet.
   */
  readonly lackingSince: Milliseconds | undefined;
  /** Term of the primary whose log was compared; undefined before. */
  readonly term: number | undefined;
}

/** End of a target's log as it was reported. */
export interface ReportedLogEnd {
  readonly target: string;
  /** Monotonic time when the answered request was sent. */
  readonly requestedAt: Milliseconds;
  readonly end: LogPosition;
  /** Term that the target follows; undefined if it did not tell. */
  readonly followedTerm?: number | undefined;
}

export interface CopyTracker {
  /** Records that a target has left or has lost its log. */
  recordLoss(): void;
  /** Records the end of a target's log, while `leader` is the known primary. */
  recordLogEnd(reported: ReportedLogEnd, leader: Leadership | undefined): void;
  state(): CopyState;
}

/** Creates a tracker that has observed nothing. */
export function createCopyTracker(now: () => Milliseconds): CopyTracker {
  let lackingSince: Milliseconds | undefined = -Infinity;
  /** End of the primary's log after copies were lost. */
  let primaryEnd: LogPosition | undefined;
  let term: number | undefined;

  function recordLoss(): void {
    lackingSince = now();
    primaryEnd = undefined;
  }

  return {
    recordLoss,
    recordLogEnd({target, requestedAt, end, followedTerm}, leader) {
      if (leader === undefined) {
        return;
      }
      if (leader.term > (term ?? Infinity)) {
        recordLoss();
      }
      term = leader.term;
      if (lackingSince === undefined) {
        return;
      }
      if (target === leader.target) {
        primaryEnd ??= requestedAt >= lackingSince ? end : undefined;
        return;
      }
      // Logs that end in the term of one primary, or of targets that follow it,
      // don't differ before their ends.
      const isComparable = end.term === term || followedTerm === term;
      if (
        isComparable &&
        primaryEnd &&
        compareLogPositions(end, primaryEnd) >= 0
      ) {
        lackingSince = undefined;
        primaryEnd = undefined;
      }
    },
    state: () => ({lackingSince, term}),
  };
}
