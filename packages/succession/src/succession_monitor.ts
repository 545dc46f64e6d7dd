/**
 * Monitors a group's primary and has another target promoted when the primary
 * leaves or is lost. Each phase of a change is written to the group's row
 * before the proxy acts in it, so that another proxy can resume the change.
 */
import type {RowWriter, TableStore} from '@kelpstep/platform';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  sleep,
} from '@kelpstep/runtime';
import type {ReadTargetStatus} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import {createAbsentPrimary} from './absent_primary';
import {type KnownPrimary, describePrimary} from './choice_context';
import type {SuccessionChoice} from './choice_report';
import type {CommitEvidence} from './commit_inquiry';
import {type KnownCopyRecord, mayLackCopies} from './copy_record';
import {
  findPendingTarget,
  findPrimary,
  isContested,
  recordedPrimary,
} from './known_primary';
import {type PrimaryView, reasonToReplace} from './split_group';
import type {VersionedSuccession} from './succession_records';
import {
  EPOCHS_PER_WRITE,
  OTHER_PROXY_STEP_TIMEOUT_MS,
  type OrderPromotion,
  SUCCESSION_KEY_PREFIX,
  type Succession,
  nextEpoch,
} from './succession_row';
import {
  type SuccessionOutcome,
  createSuccessionSteps,
} from './succession_steps';
import {createSuccessionRowWriter} from './succession_row_writer';

/**
 * Reason for which a primary is replaced. `missing`: no primary has been known
 * for a while. `unfinished`: a change of primary has not been completed.
 */
export type SuccessionReason =
  | 'leaving'
  | 'lost'
  /** The primary is reachable, but no replica receives records from it. */
  | 'isolated'
  /** Peers reach the primary, but none of these reaches a replica. */
  | 'split'
  | 'missing'
  | 'unfinished';

/** Callbacks for the progress of a succession, used for logging. */
export interface SuccessionEvents {
  /**
   * `previous` is the row that the change has replaced, and `primary` the target
   * that it replaces.
   */
  onStart(
    reason: SuccessionReason,
    epoch: number,
    previous: Succession | undefined,
    primary: KnownPrimary | undefined,
  ): void;
  onStep(step: string, target: string, epoch: number): void;
  onChoice(choice: SuccessionChoice): void;
  onEnd(
    outcome: SuccessionOutcome,
    epoch: number,
    duration: Milliseconds,
  ): void;
}

/** Dependencies of the monitoring of one group; `self` is this proxy's id. */
export interface SuccessionMonitorOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly store: TableStore;
  readonly rowWriter: RowWriter;
  /** Name of the table that the proxies share. */
  readonly table: string;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  /** True if the platform refuses orders with a lower epoch than an earlier one. */
  readonly arePromotionsFenced: boolean;
  readonly events: SuccessionEvents;
  /** How other proxies reach the group's primary. */
  viewOfPeers(): Task<PrimaryView>;
  /**
   * Asks the other proxies for acknowledged commits; one that does not answer
   * settles with undefined.
   */
  evidenceOfPeers(): ReadonlyArray<Future<CommitEvidence | undefined>>;
  /** The group's last known copy record. */
  copyRecord(): KnownCopyRecord | undefined;
  /** The group's last known succession. */
  row(): VersionedSuccession | undefined;
  /**
   * Monotonic time at which the row was first read at its position, or its
   * table in this era; -Infinity without either.
   */
  rowSeenAt(): Milliseconds;
  /** Era of the table that holds the row. */
  era(): number;
}

/** Handle of the monitoring of one group. */
export interface SuccessionMonitor {
  stop(): void;
}

/** Interval between checks of the primary. */
const MONITOR_INTERVAL_MS: Milliseconds = 50;
/**
 * Time after which an unresponsive primary counts as lost, measured from the
 * first status probe that also failed on a new connection.
 */
const PRIMARY_LOST_TIMEOUT_MS: Milliseconds = 150;
/** Time without a known primary after which a group is given a new one. */
const PRIMARY_MISSING_TIMEOUT_MS: Milliseconds = 1000;
/**
 * Minimum time between two changes. The proxy that ended a change resumes
 * replication, which must not undo the pause of the next change. The time
 * covers `RESUME_WINDOW_MS`, opening a connection and network latency.
 */
const CHANGE_COOLDOWN_MS: Milliseconds = 1500;
/**
 * If no write has been answered for this long, the primary may have no replica
 * that receives from it. The time is above the queueing delay of a target under
 * load.
 */
const WRITE_STALL_TIMEOUT_MS: Milliseconds = 400;
/** Backoff before a primary with stalled writes is checked again. */
const ISOLATION_RECHECK_BACKOFF_MS: Milliseconds = 1000;
/** Backoff before a proxy that is partitioned from the primary checks again. */
const PARTITION_RECHECK_BACKOFF_MS: Milliseconds = 300;
/** Each proxy starts after a random delay up to this, to avoid conflicts. */
const MAXIMUM_START_DELAY_MS: Milliseconds = 120;
/** Backoff after a change that failed. */
const FAILED_CHANGE_BACKOFF_MS: Milliseconds = 700;

/** Monitors the group and changes its primary when necessary, until `stop`. */
export function startSuccessionMonitor(
  options: SuccessionMonitorOptions,
): SuccessionMonitor {
  const {runtime, group, store, self, events} = options;
  const {timer, random} = runtime;
  const key = SUCCESSION_KEY_PREFIX + group.group;
  const absentPrimary = createAbsentPrimary({...options, timer});
  const steps = createSuccessionSteps({
    ...options,
    absentPrimary,
    onStep: events.onStep,
    onChoice: events.onChoice,
  });
  let missingSince: Milliseconds | undefined;
  /** True while the return of the primary is awaited. */
  let isWaiting = false;

  function updateMissingSince(): void {
    const isMissing = group.leader() === undefined && group.links().length > 0;
    missingSince = isMissing ? (missingSince ?? timer.now()) : undefined;
    absentPrimary.observe();
  }

  function findReasonForChange(): SuccessionReason | undefined {
    const leader = group.leader();
    if (leader === undefined) {
      const isOverdue =
        missingSince !== undefined &&
        timer.now() - missingSince >= PRIMARY_MISSING_TIMEOUT_MS;
      return isOverdue ? 'missing' : undefined;
    }
    const silentSince = leader.unresponsiveSince();
    if (
      silentSince !== undefined &&
      timer.now() - silentSince >= PRIMARY_LOST_TIMEOUT_MS
    ) {
      return 'lost';
    }
    if (
      isChangeInProgress() &&
      findPendingTarget(group, options.row()?.succession) === leader.target
    ) {
      return 'unfinished';
    }
    const hasReplacement = group
      .links()
      .some(link => !link.registration().isLeaving && link.isReached());
    if (leader.registration().isLeaving && hasReplacement) {
      return 'leaving';
    }
    if (isChangeInProgress() && mayTakeOver(leader)) {
      return 'unfinished';
    }
    return hasStalledWrites(leader) ? 'isolated' : undefined;
  }

  function hasStalledWrites(leader: TargetLink): boolean {
    const since = leader.writesStalledSince();
    return since !== undefined && timer.now() - since >= WRITE_STALL_TIMEOUT_MS;
  }

  function isChangeInProgress(): boolean {
    const phase = options.row()?.succession.phase;
    return phase === 'stopping' || phase === 'ordered';
  }

  /**
   * False if this proxy reaches no target that the change has paused: it could
   * only abandon the change, which delays the proxies that can complete it.
   */
  function mayTakeOver(leader: TargetLink): boolean {
    const others = group.links().filter(link => link !== leader);
    const isCutOff =
      others.length > 0 && !others.some(link => link.isReached());
    return !group.hasSynchronousReplicas() || !isCutOff;
  }

  /**
   * True while another proxy may still be performing a change, or the last
   * change is too recent. A change of this proxy itself has ended, or was that
   * of its previous process.
   */
  function mustDefer(): boolean {
    const age = timer.now() - options.rowSeenAt();
    if (!isChangeInProgress()) {
      return age < CHANGE_COOLDOWN_MS;
    }
    const isOwn = options.row()?.succession.holder === self;
    return !isOwn && age < OTHER_PROXY_STEP_TIMEOUT_MS;
  }

  /**
   * True while a primary that does not answer is known to be the only one that
   * may hold all commits. A change would only pause the replicas, which the
   * primary needs once it is back.
   */
  function mustWaitForPrimary(reason: SuccessionReason): boolean {
    const row = options.row()?.succession;
    const primary = findPrimary(group, row);
    const isSilent =
      ['lost', 'missing', 'split'].includes(reason) &&
      primary?.link.isReached() !== true;
    if (!isSilent || findPendingTarget(group, row) !== '') {
      return false;
    }
    const term = primary?.term ?? absentPrimary.last()?.term;
    const known = options.copyRecord();
    const mustWait =
      absentPrimary.isAwaited() &&
      mayLackCopies({group, known, now: timer.now()}, term);
    if (mustWait && !isWaiting) {
      const target = primary?.link.target ?? absentPrimary.last()?.target;
      events.onStep('only copy awaited', target ?? '', row?.epoch ?? 0);
    }
    isWaiting = mustWait;
    return mustWait;
  }

  function* monitor(): Task<void> {
    for (;;) {
      yield* sleep(MONITOR_INTERVAL_MS);
      updateMissingSince();
      if (findReasonForChange() === undefined || mustDefer()) {
        continue;
      }
      yield* sleep(MAXIMUM_START_DELAY_MS * random.fraction());
      const reason = yield* findConfirmedReason();
      if (reason === 'partitioned') {
        yield* sleep(random.jitter(PARTITION_RECHECK_BACKOFF_MS, 0.5));
        continue;
      }
      if (reason === 'isolated' && !(yield* steps.isIsolated(group.leader()))) {
        yield* backOffFromIsolation();
        continue;
      }
      if (reason !== undefined && !mustDefer() && !mustWaitForPrimary(reason)) {
        yield* changePrimary(reason);
      }
    }
  }

  /**
   * Waits before a primary with stalled writes is checked again. The wait ends
   * early if there is another reason for a change: writes stall before an
   * unresponsive primary is detected, which delayed the change by up to 1.5 s.
   */
  function* backOffFromIsolation(): Task<void> {
    const backoff = random.jitter(ISOLATION_RECHECK_BACKOFF_MS, 0.5);
    if (!group.hasSynchronousReplicas()) {
      yield* sleep(backoff);
      return;
    }
    const until = timer.now() + backoff;
    while (timer.now() < until) {
      yield* sleep(Math.min(MONITOR_INTERVAL_MS, until - timer.now()));
      updateMissingSince();
      const reason = findReasonForChange();
      if (reason !== undefined && reason !== 'isolated') {
        return;
      }
    }
  }

  /**
   * The reason for a change after peers were asked about a primary that this
   * proxy can't reach. `partitioned`: it stays, as peers reach it or this proxy
   * can't replace it.
   */
  function* findConfirmedReason(): Task<
    SuccessionReason | 'partitioned' | undefined
  > {
    const first = findReasonForChange();
    if (first !== 'lost' && first !== 'missing') {
      return first;
    }
    const view = yield* options.viewOfPeers();
    if (view === 'serving') {
      return 'partitioned';
    }
    const reason = findReasonForChange();
    if (reason !== 'lost' && reason !== 'missing') {
      return reason;
    }
    const hasSynchronousReplicas = group.hasSynchronousReplicas();
    const canFinish = canFinishChange();
    const lost = {reason, view, hasSynchronousReplicas, canFinish};
    return reasonToReplace(lost) ?? 'partitioned';
  }

  /**
   * True if this proxy reaches all targets that a change would pause, or the
   * target whose promotion is already ordered.
   */
  function canFinishChange(): boolean {
    const row = options.row()?.succession;
    const primary = findPrimary(group, row)?.link;
    const others = group.links().filter(link => link !== primary);
    const areReached =
      others.length > 0 && others.every(link => link.isReached());
    const pending = group.link(
      findPendingTarget(group, options.row()?.succession),
    );
    return areReached || pending?.isReached() === true;
  }

  function* changePrimary(reason: SuccessionReason): Task<void> {
    const startedAt = timer.now();
    const previous = options.row();
    const era = options.era();
    const epoch =
      nextEpoch(previous?.succession.epoch ?? 0, era) + EPOCHS_PER_WRITE - 1;
    const pendingTarget = findPendingTarget(group, options.row()?.succession);
    const isInEffect = pendingTarget === group.leader()?.target;
    const primary = isInEffect
      ? recordedPrimary(group, previous?.succession)
      : findPrimary(group, previous?.succession);
    const successionRow = createSuccessionRowWriter(
      {store, rowWriter: options.rowWriter, table: options.table, key},
      previous?.position ?? {era, version: 0},
      {
        epoch,
        holder: self,
        // A pending order stays recorded in case this proxy fails as well.
        phase: pendingTarget === '' ? 'stopping' : 'ordered',
        from: primary?.link.target ?? '',
        target: pendingTarget,
        term: primary?.term,
        demotedEnd: primary?.demotedEnd,
        targetEnd: pendingTarget === '' ? undefined : primary?.completeEnd,
        contested: isContested(previous?.succession, pendingTarget),
      },
    );
    if (!(yield* successionRow.write({}))) {
      return;
    }
    const known = describePrimary(group, primary);
    events.onStart(reason, epoch, previous?.succession, known);
    const isUnordered = reason === 'unfinished' && pendingTarget === '';
    const outcome = isUnordered
      ? yield* steps.finish(successionRow, {phase: 'abandoned'})
      : yield* steps.replacePrimary({
          rowWriter: successionRow,
          startedAt,
          primary,
          isPlanned: reason === 'leaving' && pendingTarget === '',
          isIsolated: reason === 'isolated' && pendingTarget === '',
          pendingTarget,
          // The probe for the highest term may reach an unknown primary.
          isNeedless: () =>
            (reason === 'missing' || reason === 'split') &&
            group.leader()?.isReached() === true,
        });
    events.onEnd(
      outcome,
      successionRow.succession().epoch,
      timer.now() - startedAt,
    );
    if (outcome !== 'done') {
      yield* sleep(random.jitter(FAILED_CHANGE_BACKOFF_MS, 0.5));
    }
  }

  const task: TaskHandle<void> = runtime.spawn('succession', monitor());
  return {stop: task.cancel};
}
