/**
 * Asks the other proxies which commits the replaced primary acknowledged to
 * them. A commit may be missing on every target of the table: the target that
 * received it may have left, or may not be listed yet.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Future, Milliseconds, TimerService} from '@kelpstep/runtime';
import type {AcknowledgedCommit, TargetGroup} from '@kelpstep/targets';

import type {AbsentPrimary, LastPrimary} from './absent_primary';
import {
  type CopyKnowledge,
  type KnownCopyRecord,
  mayLackCopies,
} from './copy_record';

/** What one proxy knows of acknowledged commits. */
export interface CommitEvidence {
  /** The proxy that has it; undefined for this one. */
  readonly proxy?: string | undefined;
  readonly newestCommit?: AcknowledgedCommit | undefined;
  /** True if the proxy can't tell that replicas hold all commits. */
  readonly mayLackCopies: boolean;
}

/** The logs that remain if a target is promoted. */
export interface RemainingLogs {
  /** Term in which the replaced primary led; undefined if none is known. */
  readonly term: number | undefined;
  /** End of the log of the target. */
  readonly end: LogPosition;
  /** End of the last primary's whole log; undefined if it is not known. */
  readonly primaryEnd: LogPosition | undefined;
}

export interface CommitInquiry {
  /** Asks all peers, again if they were asked before. */
  start(): void;
  /** When the peers were first asked; -Infinity before. */
  startedAt(): Milliseconds;
  /** True unless a peer that was asked may still answer. */
  isComplete(): boolean;
  /** The newest primary that is known; undefined without one. */
  lastPrimary(): LastPrimary | undefined;
  /** See `AbsentPrimary.remainingWait`. */
  remainingWait(): Milliseconds;
  /** What this proxy and the peers that have answered know. */
  evidence(): readonly CommitEvidence[];
  /**
   * True if a proxy can't tell that the replicas hold all commits that the
   * primary of `term` acknowledged.
   */
  mayLackCopies(term: number | undefined): boolean;
  /** True if a commit that was acknowledged is known to be missing. */
  isMissingCommit(logs: RemainingLogs): boolean;
  /**
   * True if a commit that was acknowledged is missing, or may be: it may have
   * had its only copy besides the primary's on a target that has left, and the
   * primary's log is longer, or its end is not known and it is waited for.
   */
  mayMissCommit(logs: RemainingLogs): boolean;
}

export interface CommitInquiryOptions {
  readonly timer: TimerService;
  readonly group: TargetGroup;
  /** The group's last known copy record. */
  copyRecord(): KnownCopyRecord | undefined;
  readonly absentPrimary: Omit<AbsentPrimary, 'observe'>;
  /** Asks the peers; one that does not answer in time settles with undefined. */
  askPeers(): ReadonlyArray<Future<CommitEvidence | undefined>>;
}

/** Returns what this proxy knows itself. */
export function evidenceOfGroup(knowledge: CopyKnowledge): CommitEvidence {
  return {
    newestCommit: knowledge.group.positions.newestCommit(),
    mayLackCopies: mayLackCopies(knowledge),
  };
}

/** Creates an inquiry that has not been started. */
export function createCommitInquiry(
  options: CommitInquiryOptions,
): CommitInquiry {
  const {timer, group, absentPrimary} = options;
  const answers: CommitEvidence[] = [];
  let startedAt: Milliseconds = -Infinity;
  let pending = 0;

  function knowledge(): CopyKnowledge {
    return {group, known: options.copyRecord(), now: timer.now()};
  }

  function allEvidence(): CommitEvidence[] {
    return [evidenceOfGroup(knowledge()), ...answers];
  }

  function newestTerm(): number {
    return absentPrimary.last()?.term ?? 0;
  }

  function isMissingCommit({term, end}: RemainingLogs): boolean {
    const isAwaited = term === undefined && absentPrimary.isAwaited();
    const ackingTerm = isAwaited ? newestTerm() : term;
    return (
      group.hasSynchronousReplicas() &&
      allEvidence().some(
        ({newestCommit}) =>
          newestCommit !== undefined &&
          newestCommit.term === ackingTerm &&
          compareLogPositions(newestCommit.after, end) >= 0,
      )
    );
  }

  function mayBeLacking(term = newestTerm()): boolean {
    return (
      mayLackCopies(knowledge(), term) ||
      answers.some(evidence => evidence.mayLackCopies)
    );
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
    isComplete: () => pending === 0,
    lastPrimary: absentPrimary.last,
    remainingWait: absentPrimary.remainingWait,
    evidence: allEvidence,
    mayLackCopies: mayBeLacking,
    isMissingCommit,
    mayMissCommit(logs) {
      const {term, end, primaryEnd} = logs;
      const isUpToPrimary =
        primaryEnd === undefined
          ? !absentPrimary.isAwaited()
          : compareLogPositions(end, primaryEnd) >= 0;
      return isMissingCommit(logs) || (!isUpToPrimary && mayBeLacking(term));
    },
  };
}
