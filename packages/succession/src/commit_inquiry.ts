/**
 * Asks the other proxies which commits the replaced primary acknowledged to
 * them. A commit may be missing on every target of the table: the target that
 * received it may have left, or may not be listed yet.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Future, Milliseconds, TimerService} from '@kelpstep/runtime';
import type {AcknowledgedCommit, TargetGroup} from '@kelpstep/targets';

/** What one proxy knows of acknowledged commits. */
export interface CommitEvidence {
  /** The proxy that has it; undefined for this one. */
  readonly proxy?: string | undefined;
  readonly newestCommit?: AcknowledgedCommit | undefined;
  /** See `GroupPositions.mayLackCopies`. */
  readonly mayLackCopies: boolean;
}

/** The logs that remain if a target is promoted. */
export interface RemainingLogs {
  /** Term in which the replaced primary led; undefined if none is known. */
  readonly term: number | undefined;
  /** End of the log of the target. */
  readonly end: LogPosition;
  /** End of the primary's log; undefined if it is not known. */
  readonly primaryEnd: LogPosition | undefined;
}

export interface CommitInquiry {
  /** Asks all peers, again if they were asked before. */
  start(): void;
  /** When the peers were first asked; -Infinity before. */
  startedAt(): Milliseconds;
  /** True once the peers have answered or had time to when first asked. */
  isComplete(): boolean;
  /** What this proxy and the peers that have answered know. */
  evidence(): readonly CommitEvidence[];
  /** True if a proxy does not know the replicas to hold all commits. */
  mayLackCopies(): boolean;
  /** True if a commit that was acknowledged is known to be missing. */
  isMissingCommit(logs: RemainingLogs): boolean;
  /**
   * True if a commit that was acknowledged is missing, or may be: it may have
   * had its only copy besides the primary's on a target that has left.
   */
  mayMissCommit(logs: RemainingLogs): boolean;
}

export interface CommitInquiryOptions {
  readonly timer: TimerService;
  readonly group: TargetGroup;
  /** Asks the peers; a peer that does not answer settles with undefined. */
  askPeers(): ReadonlyArray<Future<CommitEvidence | undefined>>;
}

/**
 * Time for which a choice waits for answers: two round trips between regions.
 * Peers that answer in time don't delay a change, which compares logs over the
 * same distances meanwhile; later answers count for the next choice.
 */
const ANSWER_TIMEOUT_MS: Milliseconds = 60;

/** Returns what this proxy knows itself. */
export function evidenceOfGroup({positions}: TargetGroup): CommitEvidence {
  return {
    newestCommit: positions.newestCommit(),
    mayLackCopies: positions.mayLackCopies(),
  };
}

/** Creates an inquiry that has not been started. */
export function createCommitInquiry(
  options: CommitInquiryOptions,
): CommitInquiry {
  const {timer, group} = options;
  const answers: CommitEvidence[] = [];
  let startedAt: Milliseconds = -Infinity;
  let pending = 0;

  function allEvidence(): CommitEvidence[] {
    return [evidenceOfGroup(group), ...answers];
  }

  function isMissingCommit({term, end}: RemainingLogs): boolean {
    return (
      group.hasSynchronousReplicas() &&
      allEvidence().some(
        ({newestCommit}) =>
          newestCommit !== undefined &&
          newestCommit.term === term &&
          compareLogPositions(newestCommit.after, end) >= 0,
      )
    );
  }

  function mayLackCopies(): boolean {
    return allEvidence().some(evidence => evidence.mayLackCopies);
  }

  return {
    start() {
      startedAt = startedAt === -Infinity ? timer.now() : startedAt;
      for (const answer of options.askPeers()) {
        pending += 1;
        answer.onSettled(evidence => {
          pending -= 1;
          if (evidence !== undefined) {
            answers.push(evidence);
          }
        });
      }
    },
    startedAt: () => startedAt,
    isComplete: () =>
      pending === 0 || timer.now() - startedAt >= ANSWER_TIMEOUT_MS,
    evidence: allEvidence,
    mayLackCopies,
    isMissingCommit,
    mayMissCommit(logs) {
      const {end, primaryEnd} = logs;
      const isBehind =
        primaryEnd !== undefined && compareLogPositions(end, primaryEnd) < 0;
      return isMissingCommit(logs) || (isBehind && mayLackCopies());
    },
  };
}
