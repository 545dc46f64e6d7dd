/** Implements a change of primary, from stopping replication to resuming it. */
import {EMPTY_LOG_END, compareLogPositions} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {ReadTargetStatus} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import type {AbsentPrimary} from './absent_primary';
import {describeContext, withMissingTime} from './choice_context';
import type {SuccessionChoice} from './choice_report';
import {
  type CommitEvidence,
  type CommitInquiry,
  createCommitInquiry,
} from './commit_inquiry';
import type {KnownCopyRecord} from './copy_record';
import {
  type GroupProbes,
  type ProbedTarget,
  createGroupProbes,
} from './group_probes';
import {type PromotionOrders, createPromotionOrders} from './promotion_orders';
import {
  COMMAND_TIMEOUT_MS,
  type ReplacedPrimary,
  type ReplicationHold,
  createReplicationHold,
} from './replication_hold';
import type {OrderPromotion, Succession} from './succession_row';
import type {SuccessionRowWriter} from './succession_row_writer';
import type {Selection} from './successor_selection';

/**
 * Result of a change of primary. `abandoned`: no promotion was ordered.
 * `overtaken`: another proxy has written the row, or no target became primary.
 */
export type SuccessionOutcome = 'done' | 'abandoned' | 'overtaken';

/** Last write of a change to its row. */
export type SuccessionEnd = Partial<Succession> & {
  readonly phase: 'done' | 'abandoned';
};

export interface SuccessionStepsOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  evidenceOfPeers(): ReadonlyArray<Future<CommitEvidence | undefined>>;
  /** The group's last known copy record. */
  copyRecord(): KnownCopyRecord | undefined;
  readonly absentPrimary: AbsentPrimary;
  /** True if the platform refuses orders with a lower epoch than an earlier one. */
  readonly arePromotionsFenced: boolean;
  onStep(step: string, target: string, epoch: number): void;
  onChoice(choice: SuccessionChoice): void;
}

/** A change whose row has been written. */
export interface PrimaryChange {
  readonly rowWriter: SuccessionRowWriter;
  /** When writing the row began. */
  readonly startedAt: Milliseconds;
  readonly primary: ReplacedPrimary | undefined;
  /** True if the primary works and is replaced because it leaves. */
  readonly isPlanned: boolean;
  /** True if the primary works, but no replica receives from it. */
  readonly isIsolated: boolean;
  /** Target of a recorded order, which may take effect at any time; or ''. */
  readonly pendingTarget: string;
  /** True if the change is no longer needed; asked before anything is stopped. */
  isNeedless(): boolean;
}

/**
 * The caller writes the phase `stopping` to the row before a change; the phase
 * `ordered` is written before a promotion is ordered.
 */
export interface SuccessionSteps {
  readonly isIsolated: GroupProbes['isIsolated'];
  /** Selects a successor, promotes it and records the end of the change. */
  replacePrimary(change: PrimaryChange): Task<SuccessionOutcome>;
  /**
   * Records the end of a change. If that succeeds, resumes replication on
   * targets that are still paused.
   */
  finish(
    rowWriter: SuccessionRowWriter,
    end: SuccessionEnd,
  ): Task<SuccessionOutcome>;
}

/** Replication is resumed only within this time after writing the row began. */
const RESUME_WINDOW_MS: Milliseconds = 300;
/** Age of an inquiry, as it was started before a change, that still counts. */
const INQUIRY_LIFETIME_MS: Milliseconds = 1000;
/** Interval at which the logs are compared before anything is stopped. */
const OBSERVATION_INTERVAL_MS: Milliseconds = 20;
/** Time for open transactions at a leaving primary to end. */
const OPEN_TRANSACTION_GRACE_MS: Milliseconds = 120;
/** Time for a replica to reach the demoted primary's log end. */
const CATCH_UP_TIMEOUT_MS: Milliseconds = 2000;
/**
 * The change is abandoned if not all replicas can be paused within this time.
 */
const PAUSE_TIMEOUT_MS: Milliseconds = 1500;

export function createSuccessionSteps(
  options: SuccessionStepsOptions,
): SuccessionSteps {
  const {runtime, group, onStep} = options;
  const {timer} = runtime;
  const probes = createGroupProbes(group);
  let inquiry = createInquiry();

  function createInquiry(): CommitInquiry {
    const {evidenceOfPeers: askPeers, copyRecord, absentPrimary} = options;
    return createCommitInquiry({
      timer,
      group,
      copyRecord,
      absentPrimary,
      askPeers,
    });
  }

  /** Starts an inquiry whose answers are awaited while the primary is probed. */
  function isIsolated(leader: TargetLink | undefined): Task<boolean> {
    inquiry = createInquiry();
    inquiry.start();
    return probes.isIsolated(leader);
  }

  function createOrders(
    {rowWriter}: PrimaryChange,
    hold: ReplicationHold,
    inquiry: CommitInquiry,
  ): PromotionOrders {
    return createPromotionOrders({
      ...options,
      inquiry,
      onSelection({successor, considered, vouchedEnd}: Selection) {
        const now = timer.now();
        options.onChoice({
          epoch: rowWriter.succession().epoch,
          term: hold.term(),
          selected: successor?.target ?? '',
          considered: withMissingTime(considered, group, now),
          context: describeContext({
            group,
            hold,
            inquiry,
            considered,
            vouchedEnd,
            now,
          }),
        });
      },
    });
  }

  /**
   * Demotes a leaving primary first, so that replicas can receive the rest of
   * its log; they are paused once one has received all of it.
   */
  function* awaitCatchUp(
    change: PrimaryChange,
    hold: ReplicationHold,
    orders: PromotionOrders,
  ): Task<void> {
    yield* sleep(OPEN_TRANSACTION_GRACE_MS);
    hold.observeMembers();
    if (yield* demote(change, hold)) {
      yield* orders.awaitSuccessor(hold, CATCH_UP_TIMEOUT_MS, '');
    }
    hold.stopMembers();
  }

  function* demote(
    {rowWriter}: PrimaryChange,
    hold: ReplicationHold,
  ): Task<boolean> {
    const isDemoted = yield* hold.demotePrimary();
    const target = hold.primary?.link.target ?? '';
    if (isDemoted) {
      onStep('demoted', target, rowWriter.succession().epoch);
    }
    return isDemoted;
  }

  /** Stops the group's replication; false if no target qualifies. */
  function* stopGroup(
    change: PrimaryChange,
    hold: ReplicationHold,
    orders: PromotionOrders,
  ): Task<boolean> {
    const {isPlanned, pendingTarget} = change;
    if (isPlanned) {
      yield* awaitCatchUp(change, hold, orders);
    }
    // An order that is outstanding may take effect before the logs are compared.
    const mayDemote =
      pendingTarget !== '' ||
      (yield* orders.awaitSuccessor(hold, PAUSE_TIMEOUT_MS, '')) !== undefined;
    const isDemoted = hold.demotedLogEnd() !== undefined;
    if (mayDemote && !isDemoted && hold.primary?.link.isReached()) {
      yield* demote(change, hold);
    }
    hold.startDemoting();
    if (pendingTarget !== '') {
      hold.requireNewAnswers();
    }
    return mayDemote;
  }

  /**
   * True if an isolated primary has to be replaced: all replicas have answered,
   * none has reached its log end, and the longest of their logs holds all
   * acknowledged commits. Replicas are not paused meanwhile, so that they can
   * receive from a primary that they reach again.
   */
  function* isReplaceable(
    {primary}: PrimaryChange,
    inquiry: CommitInquiry,
    probed: readonly ProbedTarget[],
  ): Task<boolean> {
    const deadline = timer.now() + PAUSE_TIMEOUT_MS;
    let answers = probed;
    for (;;) {
      const leading = answers.find(({link}) => link === primary?.link);
      if (primary === undefined || leading?.status.role !== 'primary') {
        return !inquiry.mayLackCopies(primary?.term);
      }
      const ends = answers
        .filter(answer => answer !== leading)
        .map(({status}) => status.received)
        .sort(compareLogPositions);
      const end = ends[ends.length - 1] ?? EMPTY_LOG_END;
      const primaryEnd = leading.status.received;
      if (compareLogPositions(end, primaryEnd) >= 0) {
        return false;
      }
      const haveAllAnswered = answers.length === group.links().length;
      if (haveAllAnswered && inquiry.isComplete()) {
        return !inquiry.mayMissCommit({term: primary.term, end, primaryEnd});
      }
      if (timer.now() >= deadline) {
        return false;
      }
      yield* sleep(OBSERVATION_INTERVAL_MS);
      answers = yield* probes.probeReached();
    }
  }

  /**
   * The primary that is to be replaced; undefined if it leads no more, or another
   * one has led since, and none leads now. All targets are compared then.
   */
  function presentPrimary(
    known: ReplacedPrimary | undefined,
    probed: readonly ProbedTarget[],
  ): ReplacedPrimary | undefined {
    const isLed = probed.some(({status}) => status.role === 'primary');
    const hasEnded = probed.some(({link, status}) => {
      const isKnown = link === known?.link && known.demotedEnd === undefined;
      return isKnown || status.term > (known?.term ?? Infinity);
    });
    return hasEnded && !isLed ? undefined : known;
  }

  function* replacePrimary(change: PrimaryChange): Task<SuccessionOutcome> {
    const {rowWriter, pendingTarget} = change;
    if (timer.now() - inquiry.startedAt() > INQUIRY_LIFETIME_MS) {
      inquiry = createInquiry();
    }
    inquiry.start();
    const probed = yield* probes.probeReached();
    const isNeedless =
      pendingTarget === '' &&
      (change.isNeedless() ||
        (change.isIsolated &&
          !(yield* isReplaceable(change, inquiry, probed))));
    if (isNeedless) {
      return yield* abandon(rowWriter);
    }
    const primary = presentPrimary(change.primary, probed);
    const hold = createReplicationHold({
      ...options,
      primary,
      highestTerm: probes.highestTerm(probed),
      newestTerm: probes.newestTerm(probed),
    });
    hold.setOrdered(pendingTarget);
    const orders = createOrders(change, hold, inquiry);
    if (!(yield* stopGroup(change, hold, orders))) {
      return yield* abandon(rowWriter);
    }
    if (hold.demotedLogEnd() !== undefined) {
      // The primary may have acknowledged commits until it was demoted.
      inquiry.start();
    }
    const term = yield* orders.promote(
      hold,
      rowWriter,
      pendingTarget,
      change.startedAt,
    );
    if (term === undefined) {
      return rowWriter.succession().phase === 'ordered'
        ? 'overtaken'
        : yield* abandon(rowWriter);
    }
    return yield* finish(rowWriter, {phase: 'done', term, contested: false});
  }

  function abandon(rowWriter: SuccessionRowWriter): Task<SuccessionOutcome> {
    return finish(rowWriter, {phase: 'abandoned'});
  }

  function* finish(
    rowWriter: SuccessionRowWriter,
    end: SuccessionEnd,
  ): Task<SuccessionOutcome> {
    const startedAt = timer.now();
    if (yield* rowWriter.write(end)) {
      const {epoch} = rowWriter.succession();
      const until = startedAt + RESUME_WINDOW_MS;
      const resumed = probes
        .reachedLinks()
        .map(link => runtime.spawn('resume', resume(link, until, epoch)));
      for (const {result} of resumed) {
        yield* waitFor(result);
      }
    }
    return end.phase;
  }

  /**
   * Resumes a replica that is still paused; a promotion ends most pauses. Sends
   * nothing after `until`: a proxy that was suspended in the meantime could
   * otherwise resume targets that another proxy has paused.
   */
  function* resume(
    link: TargetLink,
    until: Milliseconds,
    epoch: number,
  ): Task<void> {
    const status = yield* waitFor(link.probeStatus());
    if (status?.role !== 'replica' || status.termHeld <= status.term) {
      return;
    }
    const result = yield* waitFor(
      link.sendCommand({kind: 'resume'}, COMMAND_TIMEOUT_MS, until),
    );
    const step = result.ok ? 'resumed' : `resume ${result.val}`;
    onStep(step, link.target, epoch);
  }

  return {isIsolated, replacePrimary, finish};
}
