/**
 * Watches a group's primary and has another target promoted when it leaves or
 * is lost. Every step is written to the group's row before it is taken, so that
 * another proxy can go on from there.
 */
import type {TableStore} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  sleep,
} from '@kelpstep/runtime';
import type {ReadTargetStatus} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import type {StoppedTarget} from './choose_successor';
import {
  type OrderPromotion,
  SUCCESSION_PREFIX,
  type Succession,
} from './succession_row';
import {type ChangeOutcome, createSuccessionSteps} from './succession_steps';
import {type SuccessionTurn, createTurn} from './succession_row_writer';

/** Why a primary is replaced. */
export type SuccessionReason =
  | 'leaving'
  | 'lost'
  /** It is reached, but no replica receives from it. */
  | 'isolated'
  | 'missing'
  | 'unfinished';

/** A succession row with its version in the store. */
export interface VersionedSuccession {
  readonly succession: Succession;
  readonly version: number;
}

/** What a succession tells of itself, for the log. */
export interface SuccessionEvents {
  onStart(reason: SuccessionReason, epoch: number): void;
  onStep(step: string, target: string, epoch: number): void;
  onEnd(outcome: ChangeOutcome, epoch: number, duration: Milliseconds): void;
}

/** What a succession is made of. */
export interface SuccessionOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly store: TableStore;
  /** Table that the proxies share for their own rows. */
  readonly table: string;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  readonly events: SuccessionEvents;
  /** Whether another proxy reaches the group's primary; it is asked. */
  isLeaderReachedElsewhere(): Task<boolean>;
  /** The group's row as last seen. */
  row(): VersionedSuccession | undefined;
  /** When that row was seen first; -Infinity if there is none. */
  rowSeenAt(): Milliseconds;
}

/** Watches one group until it is stopped. */
export interface SuccessionWatch {
  stop(): void;
}

/** How often the primary is looked at. */
const WATCH_PERIOD: Milliseconds = 50;
/**
 * Silence after which a primary counts as lost, counted from the first question
 * that failed on a fresh connection too.
 */
const LOST_AFTER: Milliseconds = 150;
/** How long a group may be without any known primary. */
const MISSING_AFTER: Milliseconds = 1000;
/** A change by another proxy is left alone for so long after its last step. */
const OTHERS_STEP_TIME: Milliseconds = 2500;
/**
 * A change is followed by another only after this pause: whoever ended it lets
 * the targets receive again, and that must not undo the next one's stop. Covers
 * `FRESH_TURN`, the opening of a connection and the way.
 */
const PAUSE_BETWEEN_CHANGES: Milliseconds = 1500;
/**
 * Writes that wait for so long, none answered, may lack a receiver. Beyond what a
 * target's own queue adds under load.
 */
const STALLED_AFTER: Milliseconds = 400;
/** Pause before a primary whose writes wait is looked at again. */
const NOT_ISOLATED_PAUSE: Milliseconds = 1000;
/** Pause before a proxy that is cut off from a primary looks again. */
const CUT_OFF_PAUSE: Milliseconds = 300;
/** Proxies try one after the other, spread over this time. */
const SPREAD: Milliseconds = 120;
/** Pause after a change that was given up. */
const PAUSE_AFTER_FAILURE: Milliseconds = 700;
/** Starts to watch a group. */
export function watchSuccession(options: SuccessionOptions): SuccessionWatch {
  const {runtime, group, store, self, events} = options;
  const {timer, random} = runtime;
  const key = SUCCESSION_PREFIX + group.group;
  const steps = createSuccessionSteps({...options, onStep: events.onStep});
  let missingSince: Milliseconds | undefined;

  function noteMissing(): void {
    const isMissing = group.leader() === undefined && group.links().length > 0;
    missingSince = isMissing ? (missingSince ?? timer.now()) : undefined;
  }

  function findReason(): SuccessionReason | undefined {
    const leader = group.leader();
    if (leader === undefined) {
      const isOverdue =
        missingSince !== undefined &&
        timer.now() - missingSince >= MISSING_AFTER;
      return isOverdue ? 'missing' : undefined;
    }
    const silentSince = leader.silentSince();
    if (silentSince !== undefined && timer.now() - silentSince >= LOST_AFTER) {
      return 'lost';
    }
    const canLeave = group
      .links()
      .some(link => !link.registration().isLeaving && link.isReached());
    if (leader.registration().isLeaving && canLeave) {
      return 'leaving';
    }
    if (isUnderWay()) {
      return 'unfinished';
    }
    return hasStalledWrites(leader) ? 'isolated' : undefined;
  }

  function hasStalledWrites(leader: TargetLink): boolean {
    const since = leader.writesStalledSince();
    return since !== undefined && timer.now() - since >= STALLED_AFTER;
  }

  function isUnderWay(): boolean {
    const phase = options.row()?.succession.phase;
    return phase === 'stopping' || phase === 'ordered';
  }

  function isOthersTurn(): boolean {
    const age = timer.now() - options.rowSeenAt();
    return age < (isUnderWay() ? OTHERS_STEP_TIME : PAUSE_BETWEEN_CHANGES);
  }

  function* watch(): Task<void> {
    for (;;) {
      yield* sleep(WATCH_PERIOD);
      noteMissing();
      if (findReason() === undefined || isOthersTurn()) {
        continue;
      }
      yield* sleep(SPREAD * random.fraction());
      if (yield* isOnlyCutOff()) {
        yield* sleep(random.jitter(CUT_OFF_PAUSE, 0.5));
        continue;
      }
      const reason = findReason();
      if (reason === 'isolated' && !(yield* steps.isIsolated(group.leader()))) {
        yield* sleep(random.jitter(NOT_ISOLATED_PAUSE, 0.5));
        continue;
      }
      if (reason !== undefined && !isOthersTurn()) {
        yield* change(reason);
      }
    }
  }

  /** A primary that others reach is not lost: this proxy is cut off from it. */
  function* isOnlyCutOff(): Task<boolean> {
    const reason = findReason();
    const mayBe = reason === 'lost' || reason === 'missing';
    return mayBe && (yield* options.isLeaderReachedElsewhere());
  }

  function* change(reason: SuccessionReason): Task<void> {
    const startedAt = timer.now();
    const before = options.row();
    const epoch = (before?.succession.epoch ?? 0) + 1;
    const leader = group.leader() ?? lastLeader(before?.succession);
    const ordered = orderedTarget(before?.succession);
    const turn = createTurn(store, options.table, key, before?.version ?? 0, {
      epoch,
      holder: self,
      // An order that is taken over stays written, should this holder die.
      phase: ordered === '' ? 'stopping' : 'ordered',
      from: leader?.target ?? '',
      target: ordered,
    });
    if (!(yield* turn.write({}))) {
      return;
    }
    events.onStart(reason, epoch);
    const outcome = yield* takeSteps(turn, reason, leader, ordered);
    events.onEnd(outcome, turn.succession().epoch, timer.now() - startedAt);
    if (outcome !== 'done') {
      yield* sleep(random.jitter(PAUSE_AFTER_FAILURE, 0.5));
    }
  }

  /**
   * The primary as the row has it, for a proxy that never heard of it: every
   * change of primary goes through the row. What a lost primary acknowledged is
   * at a replica, so that nobody has to wait for the primary itself.
   */
  function lastLeader(row: Succession | undefined): TargetLink | undefined {
    if (row === undefined || row.phase === 'ordered') {
      return undefined;
    }
    return group.link(row.phase === 'done' ? row.target : row.from);
  }

  /** An order that may still take effect is not followed by another choice. */
  function orderedTarget(row: Succession | undefined): string {
    const isOrdered = row?.phase === 'ordered';
    const link = isOrdered ? group.link(row.target) : undefined;
    return link?.isReached() ? link.target : '';
  }

  function* takeSteps(
    turn: SuccessionTurn,
    reason: SuccessionReason,
    leader: TargetLink | undefined,
    ordered: string,
  ): Task<ChangeOutcome> {
    if (ordered !== '') {
      return yield* steps.carryOut(turn, ordered);
    }
    const successor = yield* chooseFor(reason, leader);
    if (successor === undefined) {
      yield* steps.finish(turn, 'abandoned');
      return 'abandoned';
    }
    return yield* steps.promoteChosen(turn, successor.target);
  }

  function* chooseFor(
    reason: SuccessionReason,
    leader: TargetLink | undefined,
  ): Task<StoppedTarget | undefined> {
    if (reason === 'unfinished') {
      return undefined;
    }
    const term = (yield* steps.newestTerm()) + 1;
    if (reason === 'missing' && group.leader()?.isReached()) {
      // Asked for its term, a target has said that it leads.
      return undefined;
    }
    return reason === 'leaving' && leader !== undefined
      ? yield* steps.chooseAfterDemotion(leader, term)
      : yield* steps.chooseAfterStop(leader, term);
  }

  const task: TaskHandle<void> = runtime.spawn('succession', watch());
  return {stop: task.cancel};
}
