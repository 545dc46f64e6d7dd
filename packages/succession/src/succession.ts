/**
 * Watches a group's primary and has another target promoted when it leaves or
 * is lost. Every step is written to the group's row before it is taken, so that
 * another proxy can go on from there.
 */
import type {LogPosition} from '@kelpstep/protocol';
import type {TableStore} from '@kelpstep/platform';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  type TaskHandle,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import type {
  ReadTargetStatus,
  TargetOrder,
  TargetStatus,
} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import {type StoppedTarget, chooseSuccessor} from './choose_successor';
import {
  type OrderPromotion,
  SUCCESSION_PREFIX,
  type Succession,
} from './succession_row';
import {type SuccessionTurn, createTurn} from './succession_turn';

/** Why a primary is replaced. */
export type SuccessionReason = 'leaving' | 'lost' | 'missing' | 'unfinished';

/** A succession row with its version in the store. */
export interface VersionedSuccession {
  readonly succession: Succession;
  readonly version: number;
}

/** How a change ended; `overtaken`: another proxy goes on with it. */
export type ChangeOutcome = 'done' | 'abandoned' | 'overtaken';

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
/** Targets are let go on only right after the row was written. */
const FRESH_TURN: Milliseconds = 300;
/** Proxies try one after the other, spread over this time. */
const SPREAD: Milliseconds = 120;
/** Pause after a change that was given up. */
const PAUSE_AFTER_FAILURE: Milliseconds = 700;
/** Time for a target to carry out an order that needs no slot. */
const ORDER_TIMEOUT: Milliseconds = 400;
/** Time in which open transactions at a leaving primary may still end. */
const OPEN_TRANSACTION_TIME: Milliseconds = 120;
/** How long a successor may take to reach the demoted primary's log end. */
const CATCH_UP_TIME: Milliseconds = 2000;
/** How long all replicas are asked again before a change is given up. */
const STOP_TIME: Milliseconds = 1500;
const STEP_PAUSE: Milliseconds = 20;
/** How long the promoted target is asked whether it leads. */
const LEAD_TIME: Milliseconds = 3000;
/** Orders for one choice, each with an epoch of its own. */
const MAXIMUM_ORDERS = 4;

/** Starts to watch a group. */
export function watchSuccession(options: SuccessionOptions): SuccessionWatch {
  const {runtime, group, store, self, events} = options;
  const {timer, random} = runtime;
  const key = SUCCESSION_PREFIX + group.group;
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
    return isUnderWay() ? 'unfinished' : undefined;
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
      const reason = findReason();
      if (reason !== undefined && !isOthersTurn()) {
        yield* change(reason);
      }
    }
  }

  function* change(reason: SuccessionReason): Task<void> {
    const startedAt = timer.now();
    const before = options.row();
    const epoch = (before?.succession.epoch ?? 0) + 1;
    const leader = group.leader() ?? lastLeader(before?.succession);
    const turn = createTurn(store, options.table, key, before?.version ?? 0, {
      epoch,
      holder: self,
      phase: 'stopping',
      from: leader?.target ?? '',
      target: '',
    });
    if (!(yield* turn.write({}))) {
      return;
    }
    events.onStart(reason, epoch);
    const ordered = orderedTarget(before?.succession);
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
      return yield* carryOut(turn, ordered);
    }
    const successor = yield* chooseFor(reason, leader);
    if (successor === undefined) {
      yield* finish(turn, 'abandoned');
      return 'abandoned';
    }
    return yield* carryOut(turn, successor.target);
  }

  function* chooseFor(
    reason: SuccessionReason,
    leader: TargetLink | undefined,
  ): Task<StoppedTarget | undefined> {
    if (reason === 'unfinished') {
      return undefined;
    }
    const term = (yield* newestTerm()) + 1;
    if (reason === 'missing' && group.leader()?.isReached()) {
      // Asked for its term, a target has said that it leads.
      return undefined;
    }
    return reason === 'leaving' && leader !== undefined
      ? yield* chooseAfterDemotion(leader, term)
      : yield* chooseAfterStop(leader, term);
  }

  function* carryOut(
    turn: SuccessionTurn,
    target: string,
  ): Task<ChangeOutcome> {
    if (!(yield* turn.write({phase: 'ordered', target}))) {
      return 'overtaken';
    }
    if (!(yield* promote(turn, target))) {
      return 'overtaken';
    }
    yield* finish(turn, 'done');
    return 'done';
  }

  /**
   * Writes the end and lets all targets receive again. A proxy that stood still
   * meanwhile must not: another may have stopped them by then.
   */
  function* finish(
    turn: SuccessionTurn,
    phase: 'done' | 'abandoned',
  ): Task<void> {
    const startedAt = timer.now();
    const isWritten = yield* turn.write({phase});
    if (isWritten && timer.now() - startedAt < FRESH_TURN) {
      yield* resumeAll();
    }
  }

  /** Asks all reached targets at once. */
  function* newestTerm(): Task<number> {
    const asked = group
      .links()
      .filter(link => link.isReached())
      .map(link => link.askStatus());
    let newest = group.positions.leader()?.term ?? 0;
    for (const answer of asked) {
      const status = yield* waitFor(answer);
      if (status !== undefined) {
        const {term, termHeld, received} = status;
        newest = Math.max(newest, term, termHeld, received.term);
      }
    }
    return newest;
  }

  function* order(
    link: TargetLink,
    request: TargetOrder,
  ): Task<TargetStatus | undefined> {
    const reply = yield* waitFor(link.order(request, ORDER_TIMEOUT));
    return reply.ok ? options.readStatus(reply.val) : undefined;
  }

  function stoppedAs(link: TargetLink, received: LogPosition): StoppedTarget {
    const {isLeaving, dataCentre} = link.registration();
    return {target: link.target, received, isLeaving, dataCentre};
  }

  /** The primary stops acknowledging; whoever has its log's end may lead. */
  function* chooseAfterDemotion(
    leader: TargetLink,
    term: number,
  ): Task<StoppedTarget | undefined> {
    yield* sleep(OPEN_TRANSACTION_TIME);
    const demoted = yield* order(leader, {kind: 'demote', term});
    if (demoted === undefined) {
      return yield* chooseAfterStop(leader, term);
    }
    events.onStep('demoted', leader.target, term);
    const deadline = timer.now() + CATCH_UP_TIME;
    while (timer.now() < deadline) {
      const others = group.links().filter(link => link !== leader);
      const asked = others.map(link => ({link, status: link.askStatus()}));
      const stopped: StoppedTarget[] = [];
      for (const {link, status} of asked) {
        const known = yield* waitFor(status);
        if (known !== undefined) {
          stopped.push(stoppedAs(link, known.received));
        }
      }
      const demotedAt = demoted.received;
      const successor = chooseSuccessor({stopped, unanswered: 0, demotedAt});
      if (successor !== undefined) {
        return successor;
      }
      yield* sleep(STEP_PAUSE);
    }
    return undefined;
  }

  /** Stops all that may receive, and compares what they have received. */
  function* chooseAfterStop(
    leader: TargetLink | undefined,
    term: number,
  ): Task<StoppedTarget | undefined> {
    const deadline = timer.now() + STOP_TIME;
    const stopped = new Map<string, StoppedTarget>();
    while (timer.now() < deadline) {
      const others = group.links().filter(link => link !== leader);
      const asked = others
        .filter(({target}) => !stopped.has(target))
        .map(link => ({
          link,
          reply: link.order({kind: 'pause', term}, ORDER_TIMEOUT),
        }));
      for (const {link, reply} of asked) {
        const answer = yield* waitFor(reply);
        const status = answer.ok ? options.readStatus(answer.val) : undefined;
        if (status !== undefined) {
          stopped.set(link.target, stoppedAs(link, status.received));
        }
      }
      const unanswered = others.filter(({target}) => !stopped.has(target));
      const successor = chooseSuccessor({
        stopped: [...stopped.values()],
        unanswered: unanswered.length,
        demotedAt: undefined,
      });
      if (successor !== undefined) {
        return successor;
      }
      yield* sleep(STEP_PAUSE);
    }
    return undefined;
  }

  /**
   * Orders the promotion until the target says that it leads. An order without
   * an answer may be carried out later: the next one names the same target with
   * a higher epoch, so that whichever takes effect, the same target leads.
   */
  function* promote(turn: SuccessionTurn, target: string): Task<boolean> {
    for (let orders = 0; orders < MAXIMUM_ORDERS; orders++) {
      const {epoch} = turn.succession();
      const reply = yield* waitFor(
        options.orderPromotion({
          group: group.group,
          target,
          holder: self,
          epoch,
        }),
      );
      events.onStep(`promotion ${reply}`, target, epoch);
      const mayLead = reply === 'done' || reply === 'unanswered';
      if (mayLead && (yield* leadsSoon(target))) {
        return true;
      }
      if (!(yield* turn.write({epoch: epoch + 1}))) {
        return false;
      }
    }
    return false;
  }

  function* leadsSoon(target: string): Task<boolean> {
    const deadline = timer.now() + LEAD_TIME;
    while (timer.now() < deadline) {
      const link = group.link(target);
      if (link === undefined || !link.isReached()) {
        return false;
      }
      const status = yield* waitFor(link.askStatus());
      if (status?.role === 'primary') {
        return true;
      }
      yield* sleep(STEP_PAUSE);
    }
    return false;
  }

  function* resumeAll(): Task<void> {
    const asked = group
      .links()
      .filter(link => link.isReached())
      .map(link => link.order({kind: 'resume'}, ORDER_TIMEOUT));
    for (const reply of asked) {
      yield* waitFor(reply);
    }
  }

  const task: TaskHandle<void> = runtime.spawn('succession', watch());
  return {stop: task.cancel};
}
