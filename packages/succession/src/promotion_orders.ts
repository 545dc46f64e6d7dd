/**
 * Orders the promotion of a successor until it leads. An order may take effect
 * seconds after it was sent, and the group's logs may change meanwhile, so each
 * order is preceded by a comparison of the logs, and a target with an order
 * outstanding is given up only for a reason.
 */
import {
  type Milliseconds,
  type Runtime,
  type Task,
  createSuspensionDetector,
  sleep,
} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';

import type {SuccessorCandidate} from './choose_successor';
import type {CommitInquiry} from './commit_inquiry';
import {type EpochLease, createEpochLease} from './epoch_lease';
import {createLogRecovery} from './log_recovery';
import {
  FENCING_ORDERS,
  MAXIMUM_FENCING_ROUNDS,
  createOrderSender,
} from './order_sender';
import type {ReplicationHold} from './replication_hold';
import type {OrderPromotion} from './succession_row';
import type {SuccessionRowWriter} from './succession_row_writer';
import {type Selection, selectSuccessor} from './successor_selection';

export interface PromotionOrdersOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly inquiry: CommitInquiry;
  readonly orderPromotion: OrderPromotion;
  /** True if the platform refuses orders with a lower epoch than an earlier one. */
  readonly arePromotionsFenced: boolean;
  onStep(step: string, target: string, epoch: number): void;
  onSelection(selection: Selection): void;
}

/** The newest order that may not have taken effect yet. */
interface Outstanding {
  /** Its target, or ''. */
  target: string;
  /** True if it may be executed at any later time. */
  isUnanswered: boolean;
  /**
   * True if an order for another target may be executed as well, because none
   * after it has been answered.
   */
  hasOther: boolean;
}

export interface PromotionOrders {
  /**
   * Waits until a target qualifies; undefined if none did within `timeout`.
   * `pendingTarget` has an order outstanding, or is ''.
   */
  awaitSuccessor(
    hold: ReplicationHold,
    timeout: Milliseconds,
    pendingTarget: string,
    /** Target in the row, which is kept if it qualifies. */
    recordedTarget?: string,
  ): Task<SuccessorCandidate | undefined>;
  /**
   * Orders the promotion of a target that qualifies until one leads, and returns
   * the term in which it does; undefined if another proxy has written the row or
   * no target became primary in time. `pendingTarget` has an order outstanding
   * from before, or is ''.
   */
  promote(
    hold: ReplicationHold,
    rowWriter: SuccessionRowWriter,
    pendingTarget: string,
    rowWrittenAt: Milliseconds,
  ): Task<number | undefined>;
}

/**
 * Maximum age of the answers on which an order relies. Older ones are replaced
 * first: targets may have restarted or joined since.
 */
const MAXIMUM_ANSWER_AGE_MS: Milliseconds = 250;
/** Maximum number of orders rejected for their epoch or a stopped target. */
const MAXIMUM_REJECTED_ORDERS = 6;
/** Maximum number of attempts that only fence earlier orders. */
const MAXIMUM_FENCE_ATTEMPTS = 3;
const REFUSED_ORDER_BACKOFF_MS: Milliseconds = 60;
/** Time for which orders are repeated. */
const PROMOTION_TIMEOUT_MS: Milliseconds = 9000;
/** Time for a target to qualify before an order. */
const CONFIRMATION_TIMEOUT_MS: Milliseconds = 2750;
/**
 * Time for which a silent target keeps its order. It covers the detection of a
 * failed connection and a probe on a new one; the next order fences it.
 */
const SILENT_TARGET_TIMEOUT_MS: Milliseconds = 500;
/** Time after which the demoted primary may be promoted itself. */
const KEEP_PRIMARY_DELAY_MS: Milliseconds = 500;
/** Time for a target to report the primary role after a confirmed promotion. */
const LEADERSHIP_TIMEOUT_MS: Milliseconds = 3000;
/** Time from the execution of an order until its promotion takes effect. */
const LONGEST_PROMOTION_MS: Milliseconds = 1250;
/** Time that covers a promotion and the status probe that detects it. */
const UNANSWERED_LEADERSHIP_TIMEOUT_MS = LONGEST_PROMOTION_MS;
/**
 * The same time where the platform refuses orders of lower epochs: an order that
 * is repeated too early then does no harm, and the group has no primary
 * meanwhile.
 */
const FENCED_LEADERSHIP_TIMEOUT_MS: Milliseconds = 350;

export function createPromotionOrders(
  options: PromotionOrdersOptions,
): PromotionOrders {
  const {runtime, group, inquiry, onSelection} = options;
  const {timer} = runtime;
  const sender = createOrderSender(options);
  const {probeLeading, withLog} = createLogRecovery({...options, sender});
  const unansweredLeadershipTimeout = options.arePromotionsFenced
    ? FENCED_LEADERSHIP_TIMEOUT_MS
    : UNANSWERED_LEADERSHIP_TIMEOUT_MS;
  let lastReported: string | undefined;
  /** Since when a target with an outstanding order has not answered. */
  let silent: {readonly target: string; readonly since: Milliseconds} = {
    target: '',
    since: Infinity,
  };

  function isDown(target: string): boolean {
    return group.link(target)?.isDown() === true;
  }

  /**
   * True if the target with an outstanding order may be passed over: it was
   * removed, is down, has a shorter log than another one, or has been silent for
   * long and the next order fences the outstanding one.
   */
  function maySwitch(pendingTarget: string, {considered}: Selection): boolean {
    const pending = considered.find(({target}) => target === pendingTarget);
    const isSilent = pending?.verdict === 'unanswered';
    if (!isSilent) {
      silent = {target: '', since: Infinity};
    } else if (silent.target !== pendingTarget) {
      silent = {target: pendingTarget, since: timer.now()};
    }
    const isGivenUp =
      options.arePromotionsFenced &&
      timer.now() - silent.since >= SILENT_TARGET_TIMEOUT_MS;
    return pending === undefined || !isSilent || isGivenUp;
  }

  function* awaitSuccessor(
    hold: ReplicationHold,
    timeout: Milliseconds,
    pendingTarget: string,
    recordedTarget = '',
  ): Task<SuccessorCandidate | undefined> {
    const startedAt = timer.now();
    const suspension = createSuspensionDetector(timer);
    let earliest = -Infinity;
    for (;;) {
      hold.refresh();
      const now = timer.now();
      // Answers from before a suspension are older than the clock shows.
      earliest = suspension.wasSuspended() ? now : earliest;
      const selection = selectSuccessor({
        hold,
        inquiry,
        now,
        since: Math.max(
          earliest,
          hold.answersSince(),
          now - MAXIMUM_ANSWER_AGE_MS,
        ),
        preferred: pendingTarget || recordedTarget,
        mayLead: !hold.isDemoting(),
        mayKeepPrimary:
          isDown(pendingTarget) || now - startedAt >= KEEP_PRIMARY_DELAY_MS,
      });
      const {successor} = selection;
      const isAllowed =
        pendingTarget === '' ||
        successor?.target === pendingTarget ||
        maySwitch(pendingTarget, selection);
      if (successor !== undefined && isAllowed) {
        report(selection);
        return successor;
      }
      if (hold.isOver() || now - startedAt >= timeout) {
        report({...selection, successor: undefined});
        return undefined;
      }
      yield* hold.pollHolding();
    }
  }

  /** Reports a choice, unless the same target was selected for the hold before. */
  function report(selection: Selection): void {
    const selected = selection.successor?.target;
    if (selected === undefined || selected !== lastReported) {
      onSelection(selection);
    }
    lastReported = selected;
  }

  /** Term in which the target leads; undefined if it does not lead. */
  function* termLedBy(
    target: string,
    hold: ReplicationHold,
  ): Task<number | undefined> {
    return (yield* probeLeading(target, hold))?.term;
  }

  /**
   * True unless another target has a longer log than this one, which may have
   * restarted without its log or lack commits that were acknowledged since.
   */
  function mayStillQualify(target: string, hold: ReplicationHold): boolean {
    const now = timer.now();
    const since = now - MAXIMUM_ANSWER_AGE_MS;
    const selection = selectSuccessor({
      hold,
      inquiry,
      now,
      since,
      preferred: target,
      mayLead: false,
      mayKeepPrimary: isDown(target),
    });
    const selected = selection.successor?.target ?? target;
    return selected === target || !maySwitch(target, selection);
  }

  /**
   * Waits until the target leads, for at most `timeout`, or until another one
   * has to be promoted instead.
   */
  function* awaitLeadership(
    target: string,
    hold: ReplicationHold,
    lease: EpochLease,
    timeout: Milliseconds,
  ): Task<number | undefined> {
    const deadline = timer.now() + timeout;
    for (;;) {
      const term = yield* termLedBy(target, hold);
      const mustEnd = timer.now() >= deadline || !mayStillQualify(target, hold);
      if (term !== undefined || mustEnd) {
        return term;
      }
      lease.renew();
      yield* hold.pollHolding();
    }
  }

  function* promote(
    hold: ReplicationHold,
    rowWriter: SuccessionRowWriter,
    pendingTarget: string,
    rowWrittenAt: Milliseconds,
  ): Task<number | undefined> {
    const lease = createEpochLease(runtime, hold, rowWriter, rowWrittenAt);
    const outstanding: Outstanding = {
      target: pendingTarget,
      isUnanswered: pendingTarget !== '',
      hasOther: false,
    };
    const led = yield* orderUntilLed(hold, lease, outstanding);
    const leading =
      led === undefined ? undefined : yield* probeLeading(lease.target(), hold);
    const term = leading ? yield* withLog(leading, hold, lease) : led;
    const mustSettle = lease.isContested() && options.arePromotionsFenced;
    let isSettled = true;
    if (term !== undefined && (outstanding.isUnanswered || mustSettle)) {
      const isFenced = yield* fenceOutstanding(hold, lease);
      isSettled =
        !mustSettle ||
        (isFenced && (yield* outlastsPromotions(hold, lease, term)));
    }
    yield* lease.end();
    return lease.isLost() || !isSettled ? undefined : term;
  }

  /**
   * Waits until promotions of other targets that were executed before the fence
   * have taken effect; true if the recorded target leads all the same.
   */
  function* outlastsPromotions(
    hold: ReplicationHold,
    lease: EpochLease,
    term: number,
  ): Task<boolean> {
    const until = timer.now() + LONGEST_PROMOTION_MS;
    while (timer.now() < until && !lease.isLost()) {
      lease.renew();
      yield* hold.pollHolding();
    }
    const leading = yield* probeLeading(lease.target(), hold);
    return leading?.term === term;
  }

  /**
   * Orders the promotion of the target that leads, which only raises the epoch
   * below which orders are refused. An earlier order that is executed later
   * could promote it again while the next change is under way. True once one was
   * executed.
   */
  function* fenceOutstanding(
    hold: ReplicationHold,
    lease: EpochLease,
  ): Task<boolean> {
    for (let attempt = 0; attempt < MAXIMUM_FENCE_ATTEMPTS; attempt++) {
      const count = attempt === 0 ? 1 : FENCING_ORDERS;
      const reply = yield* sender.send(hold, lease, count);
      if (reply === undefined || reply === 'done') {
        return reply === 'done';
      }
    }
    return false;
  }

  function* orderUntilLed(
    hold: ReplicationHold,
    lease: EpochLease,
    outstanding: Outstanding,
  ): Task<number | undefined> {
    const giveUpAt = timer.now() + PROMOTION_TIMEOUT_MS;
    let rejectedOrders = 0;
    let fencingRounds = 0;
    while (rejectedOrders < MAXIMUM_REJECTED_ORDERS && timer.now() < giveUpAt) {
      const {target: ordered} = outstanding;
      const led = ordered === '' ? undefined : yield* termLedBy(ordered, hold);
      if (led !== undefined || lease.isLost()) {
        return led;
      }
      const successor = yield* awaitSuccessor(
        hold,
        CONFIRMATION_TIMEOUT_MS,
        ordered,
        lease.target(),
      );
      if (successor === undefined) {
        return ordered === ''
          ? undefined
          : yield* awaitLeadership(
              ordered,
              hold,
              lease,
              SILENT_TARGET_TIMEOUT_MS,
            );
      }
      const {target, received} = successor;
      if (!lease.mayOrder(target)) {
        if (!(yield* lease.begin(target, received))) {
          return undefined;
        }
        // From now on proxies withhold successes of the old primary.
        hold.requireNewAnswers();
        continue;
      }
      hold.recordCompleteEnd(received);
      const isOther = ordered !== '' && target !== ordered;
      outstanding.hasOther ||= isOther && outstanding.isUnanswered;
      const mustFence =
        outstanding.hasOther && fencingRounds < MAXIMUM_FENCING_ROUNDS;
      fencingRounds += mustFence ? 1 : 0;
      const reply = yield* sender.send(
        hold,
        lease,
        mustFence ? FENCING_ORDERS : 1,
      );
      outstanding.target = target;
      outstanding.isUnanswered = reply === 'unanswered';
      outstanding.hasOther &&= reply !== 'done';
      if (reply === 'fenced') {
        rejectedOrders += 1;
        lease.dropEpochs();
      }
      if (reply === 'fenced' || reply === 'refused') {
        yield* sleep(REFUSED_ORDER_BACKOFF_MS);
        continue;
      }
      if (mustFence && reply === 'unanswered') {
        continue;
      }
      const timeout =
        reply === 'done' ? LEADERSHIP_TIMEOUT_MS : unansweredLeadershipTimeout;
      const term = yield* awaitLeadership(target, hold, lease, timeout);
      if (term !== undefined) {
        return term;
      }
    }
    return undefined;
  }

  return {awaitSuccessor, promote};
}
