/**
 * Implements the steps of a change of primary, from pausing to resuming
 * replication.
 */
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';
import type {
  ReadTargetStatus,
  TargetCommand,
  TargetStatus,
} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import {
  type SuccessionChoice,
  type TimedAnswer,
  considerTargets,
} from './choice_report';
import {type SuccessorCandidate, chooseSuccessor} from './choose_successor';
import {createGroupProbes} from './group_probes';
import type {OrderPromotion} from './succession_row';
import type {SuccessionRowWriter} from './succession_row_writer';

/**
 * Result of a change of primary. `abandoned`: no promotion was ordered.
 * `overtaken`: another proxy has written the row, or the target did not become
 * primary.
 */
export type SuccessionOutcome = 'done' | 'abandoned' | 'overtaken';

export interface SuccessionStepsOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  /** True if the platform refuses orders with a lower epoch than an earlier one. */
  readonly arePromotionsFenced: boolean;
  onStep(step: string, target: string, epoch: number): void;
  onChoice(choice: SuccessionChoice): void;
}

/**
 * The steps of a change. The caller writes the phase `stopping` to the row
 * before replicas are paused; `promoteSuccessor` writes `ordered` before it
 * orders the promotion.
 */
export interface SuccessionSteps {
  /**
   * True if `leader` reports itself primary and every reachable replica lacks
   * records of its log; false if no replica is reachable. The replicas are
   * probed repeatedly, because a replica is briefly behind under normal
   * operation too.
   */
  isIsolated(leader: TargetLink | undefined): Task<boolean>;
  /** Returns the highest term known to this proxy or to a reachable target. */
  highestTerm(): Task<number>;
  /**
   * Demotes the primary and selects a target that holds every commit it has
   * acknowledged. Pauses the replicas instead if the primary does not answer.
   */
  chooseAfterDemotion(
    leader: TargetLink,
    term: number,
    epoch: number,
  ): Task<SuccessorCandidate | undefined>;
  /**
   * Pauses replication on all replicas and selects among them; undefined if a
   * replica could not be paused in time.
   */
  chooseAfterPause(
    leader: TargetLink | undefined,
    term: number,
    epoch: number,
  ): Task<SuccessorCandidate | undefined>;
  /** Records the selected target, then promotes it and finishes the change. */
  promoteSuccessor(
    rowWriter: SuccessionRowWriter,
    target: string,
  ): Task<SuccessionOutcome>;
  /** Promotes a target that the row already records and finishes the change. */
  completePromotion(
    rowWriter: SuccessionRowWriter,
    target: string,
  ): Task<SuccessionOutcome>;
  /**
   * Records the end of the change. If that succeeds, resumes replication on all
   * reachable targets.
   */
  finish(
    rowWriter: SuccessionRowWriter,
    phase: 'done' | 'abandoned',
  ): Task<void>;
}

/** Replication is resumed only within this time after writing the row began. */
const RESUME_WINDOW_MS: Milliseconds = 300;
/**
 * Time for a target to execute an order. Orders are sent on the control
 * connection, so they don't wait for statements.
 */
const ORDER_TIMEOUT_MS: Milliseconds = 400;
/** Time for open transactions at a leaving primary to end. */
const OPEN_TRANSACTION_GRACE_MS: Milliseconds = 120;
/** Time for a replica to reach the demoted primary's log end. */
const CATCH_UP_TIMEOUT_MS: Milliseconds = 2000;
/**
 * The change is abandoned if not all replicas can be paused within this time.
 */
const PAUSE_TIMEOUT_MS: Milliseconds = 1500;
const POLL_INTERVAL_MS: Milliseconds = 20;
/** Time for a target to report the primary role after a confirmed promotion. */
const LEADERSHIP_TIMEOUT_MS: Milliseconds = 3000;
/** Maximum number of answered orders per selected target. */
const MAXIMUM_ANSWERED_ORDERS = 6;
/**
 * Time for which orders for a selected target are repeated, each with its own
 * epoch.
 */
const PROMOTION_TIMEOUT_MS: Milliseconds = 9000;
/**
 * A promotion order is usually answered within milliseconds. Without an answer
 * it may have been executed or lost, or may be executed seconds later; the
 * target's status is then probed before the order is repeated.
 */
const PROMOTION_REPLY_TIMEOUT_MS: Milliseconds = 300;
/**
 * Time that covers a promotion of up to a second and the status probe that
 * detects it.
 */
const UNANSWERED_LEADERSHIP_TIMEOUT_MS: Milliseconds = 1250;
/**
 * The same time where the platform refuses orders of lower epochs: an order that
 * is repeated too early then does no harm, and the group has no primary
 * meanwhile.
 */
const FENCED_LEADERSHIP_TIMEOUT_MS: Milliseconds = 350;
export function createSuccessionSteps(
  options: SuccessionStepsOptions,
): SuccessionSteps {
  const {runtime, group, self, onStep} = options;
  const {timer} = runtime;
  const {probeStatuses, reachedLinks, isIsolated, highestTerm} =
    createGroupProbes(group);
  const unansweredLeadershipTimeout = options.arePromotionsFenced
    ? FENCED_LEADERSHIP_TIMEOUT_MS
    : UNANSWERED_LEADERSHIP_TIMEOUT_MS;

  function* promoteSuccessor(
    rowWriter: SuccessionRowWriter,
    target: string,
  ): Task<SuccessionOutcome> {
    if (!(yield* rowWriter.write({phase: 'ordered', target}))) {
      return 'overtaken';
    }
    return yield* completePromotion(rowWriter, target);
  }

  function* completePromotion(
    rowWriter: SuccessionRowWriter,
    target: string,
  ): Task<SuccessionOutcome> {
    if (!(yield* promote(rowWriter, target))) {
      return 'overtaken';
    }
    yield* finish(rowWriter, 'done');
    return 'done';
  }

  function* finish(
    rowWriter: SuccessionRowWriter,
    phase: 'done' | 'abandoned',
  ): Task<void> {
    const startedAt = timer.now();
    if (yield* rowWriter.write({phase})) {
      const {epoch} = rowWriter.succession();
      yield* resumeReplication(startedAt + RESUME_WINDOW_MS, epoch);
    }
  }

  function reportChoice(
    {epoch, term}: {readonly epoch: number; readonly term: number},
    leader: TargetLink | undefined,
    answers: ReadonlyMap<string, TimedAnswer>,
    successor: SuccessorCandidate | undefined,
  ): void {
    const considered = considerTargets({
      targets: group.links().map(({target}) => target),
      replaced: leader?.target,
      answers,
      successor,
      now: timer.now(),
    });
    const selected = successor?.target ?? '';
    options.onChoice({epoch, term, selected, considered});
  }

  function* sendOrder(
    link: TargetLink,
    request: TargetCommand,
  ): Task<TargetStatus | undefined> {
    const reply = yield* waitFor(link.sendCommand(request, ORDER_TIMEOUT_MS));
    return reply.ok ? options.readStatus(reply.val) : undefined;
  }

  function toCandidate(
    link: TargetLink,
    received: LogPosition,
  ): SuccessorCandidate {
    const {isLeaving, dataCentre} = link.registration();
    return {target: link.target, received, isLeaving, dataCentre};
  }

  /** If the primary does not answer, the replicas are paused instead. */
  function* chooseAfterDemotion(
    leader: TargetLink,
    term: number,
    epoch: number,
  ): Task<SuccessorCandidate | undefined> {
    yield* sleep(OPEN_TRANSACTION_GRACE_MS);
    const demotedAt = timer.now();
    const demoted = yield* sendOrder(leader, {kind: 'demote', term});
    if (demoted === undefined) {
      return yield* chooseAfterPause(leader, term, epoch);
    }
    onStep('demoted', leader.target, epoch);
    const answers = new Map<string, TimedAnswer>();
    answers.set(leader.target, {status: demoted, requestedAt: demotedAt});
    const deadline = timer.now() + CATCH_UP_TIMEOUT_MS;
    while (timer.now() < deadline) {
      const others = group.links().filter(link => link !== leader);
      const requestedAt = timer.now();
      const probed = yield* probeStatuses(others);
      for (const {link, status} of probed) {
        answers.set(link.target, {status, requestedAt});
      }
      const stopped = probed.map(({link, status}) =>
        toCandidate(link, status.received),
      );
      const demotedLogEnd = demoted.received;
      const successor = chooseSuccessor({
        stopped,
        unanswered: 0,
        demotedLogEnd,
      });
      if (successor !== undefined) {
        reportChoice({epoch, term}, leader, answers, successor);
        return successor;
      }
      yield* sleep(POLL_INTERVAL_MS);
    }
    reportChoice({epoch, term}, leader, answers, undefined);
    return undefined;
  }

  function* chooseAfterPause(
    leader: TargetLink | undefined,
    term: number,
    epoch: number,
  ): Task<SuccessorCandidate | undefined> {
    const deadline = timer.now() + PAUSE_TIMEOUT_MS;
    const answers = new Map<string, TimedAnswer>();
    const paused = new Map<string, SuccessorCandidate>();
    while (timer.now() < deadline) {
      const others = group.links().filter(link => link !== leader);
      const requestedAt = timer.now();
      const requests = others
        .filter(({target}) => !paused.has(target))
        .map(link => ({
          link,
          reply: link.sendCommand({kind: 'pause', term}, ORDER_TIMEOUT_MS),
        }));
      for (const {link, reply} of requests) {
        const answer = yield* waitFor(reply);
        const status = answer.ok ? options.readStatus(answer.val) : undefined;
        if (status !== undefined) {
          paused.set(link.target, toCandidate(link, status.received));
          answers.set(link.target, {status, requestedAt});
        }
      }
      const unanswered = others.filter(({target}) => !paused.has(target));
      const successor = chooseSuccessor({
        stopped: [...paused.values()],
        unanswered: unanswered.length,
        demotedLogEnd: undefined,
      });
      if (successor !== undefined) {
        reportChoice({epoch, term}, leader, answers, successor);
        return successor;
      }
      yield* sleep(POLL_INTERVAL_MS);
    }
    reportChoice({epoch, term}, leader, answers, undefined);
    return undefined;
  }

  /**
   * Repeats the promotion order until the target reports the primary role. An
   * unanswered order may still be executed later, so each repetition names the
   * same target with a higher epoch; whichever takes effect, the outcome is the
   * same.
   */
  function* promote(
    rowWriter: SuccessionRowWriter,
    target: string,
  ): Task<boolean> {
    const giveUpAt = timer.now() + PROMOTION_TIMEOUT_MS;
    let answeredOrders = 0;
    while (answeredOrders < MAXIMUM_ANSWERED_ORDERS && timer.now() < giveUpAt) {
      const {epoch} = rowWriter.succession();
      onStep('promotion ordered', target, epoch);
      const pendingReply = options.orderPromotion({
        group: group.group,
        target,
        holder: self,
        epoch,
      });
      const reply =
        (yield* waitWithTimeout(pendingReply, PROMOTION_REPLY_TIMEOUT_MS)) ??
        'unanswered';
      onStep(`promotion ${reply}`, target, epoch);
      answeredOrders += reply === 'unanswered' ? 0 : 1;
      const leadershipTimeout =
        reply === 'done' ? LEADERSHIP_TIMEOUT_MS : unansweredLeadershipTimeout;
      const mayLead = reply === 'done' || reply === 'unanswered';
      if (mayLead && (yield* becomesPrimary(target, leadershipTimeout))) {
        return true;
      }
      if (!(yield* rowWriter.write({epoch: epoch + 1}))) {
        return false;
      }
    }
    return false;
  }

  function* becomesPrimary(
    target: string,
    timeout: Milliseconds,
  ): Task<boolean> {
    const deadline = timer.now() + timeout;
    while (timer.now() < deadline) {
      const link = group.link(target);
      if (link === undefined || !link.isReached()) {
        return false;
      }
      const status = yield* waitFor(link.probeStatus());
      if (status?.role === 'primary') {
        return true;
      }
      yield* sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  /**
   * Sends nothing after `until`. A proxy that was suspended in the meantime
   * could otherwise resume targets that another proxy has paused.
   */
  function* resumeReplication(until: Milliseconds, epoch: number): Task<void> {
    const replies = reachedLinks().map(link => ({
      target: link.target,
      reply: link.sendCommand({kind: 'resume'}, ORDER_TIMEOUT_MS, until),
    }));
    for (const {target, reply} of replies) {
      const result = yield* waitFor(reply);
      onStep(result.ok ? 'resumed' : `resume ${result.val}`, target, epoch);
    }
  }

  return {
    isIsolated,
    highestTerm,
    chooseAfterDemotion,
    chooseAfterPause,
    promoteSuccessor,
    completePromotion,
    finish,
  };
}
