/**
 * Monitors one group: replaces a lost primary, switches over from a leaving
 * one, and reattaches members that don't follow the primary. Several proxies
 * monitor a group. Each waits longer the higher its rank, but concurrent
 * actions are safe.
 */
import {
  Milliseconds,
  Task,
  TaskHandle,
  createMailbox,
  receiveWithTimeout,
} from '@kelpstep/runtime';

import {
  MonitoredMember,
  Problem,
  actionDelayFor,
  findProblem,
} from './group_problem';
import type {Leadership} from './group_view';
import type {MemberLink} from './member_link';
import {
  PromotionCause,
  PromotionContext,
  PromotionDurations,
  PromotionOutcome,
  promote,
} from './promotion';
import {createReconciler} from './reconciliation';
import {createReconfigurer} from './reconfiguration';
import {evaluateStatusPoll, pollStatuses} from './status_poll';
import {findSuccessor, switchOver} from './switch_over';

/** A change of leadership that this proxy has carried out. */
export interface LeadershipChange {
  readonly group: string;
  readonly term: number;
  /** Member id of the new primary. */
  readonly primary: string;
  /** Member id of the former primary, if one was known. */
  readonly previous: string | undefined;
  readonly cause: PromotionCause;
  readonly durations: PromotionDurations & {
    /**
     * Time since the former primary's last status, or since the start of a
     * switch-over; `undefined` if the primary had sent no status.
     */
    readonly sinceHeard: Milliseconds | undefined;
  };
}

export interface FailureDetector {
  stop(): void;
}

export interface FailureDetectorOptions {
  readonly context: PromotionContext;
  /**
   * Rank of this proxy, where 0 acts first; `undefined` if it doesn't monitor
   * the group.
   */
  rank(): number | undefined;
  isLeaving(memberId: string): boolean;
  /** Monotonic time of the probes of the last successful round. */
  majorityProbedAt(): Milliseconds;
  onLeadershipChange(change: LeadershipChange): void;
}

interface Suspicion {
  readonly problem: Problem;
  readonly since: Milliseconds;
}

const BACKOFF_JITTER = 0.5;

/** Starts to monitor the group of `context` and continues until `stop`. */
export function createFailureDetector(
  options: FailureDetectorOptions,
): FailureDetector {
  const {context} = options;
  const {state, timings, runtime} = context;
  const {timer, random} = runtime;
  const wakeups = createMailbox<'shifted'>();
  const reconciler = createReconciler(context, options.majorityProbedAt);
  const reconfigurer = createReconfigurer(context);
  let suspicion: Suspicion | undefined;
  /**
   * Time since which replicas report contact with a primary that is lost here.
   */
  let contactReportedSince: Milliseconds | undefined;
  let nextAttemptAt: Milliseconds = 0;
  let leavingSince: Milliseconds | undefined;
  let nextSwitchOverAt: Milliseconds = 0;

  const unsubscribe = state.onTopologyChange(() => {
    if (wakeups.size() === 0) {
      wakeups.post('shifted');
    }
  });

  function* monitor(): Task<never> {
    let pause: Milliseconds = 0;
    for (;;) {
      yield* receiveWithTimeout(wakeups, pause);
      const rank = options.rank();
      const problem = rank === undefined ? undefined : detectProblem();
      pause = timings.monitorInterval;
      if (rank === undefined) {
        continue;
      }
      if (problem !== undefined) {
        pause = yield* handle(problem, rank);
      } else {
        suspicion = undefined;
        yield* maintain(rank);
      }
    }
  }

  function detectProblem(): Problem | undefined {
    const voters = state.members.voters();
    const isVotingMember = (link: MemberLink) =>
      voters.includes(link.member.id);
    const joiners = state.links().filter(link => !isVotingMember(link));
    return findProblem({
      members: state
        .links()
        .filter(isVotingMember)
        .map(link => toMonitoredMember(link, timer.now())),
      joinersTerm: Math.max(
        0,
        ...joiners.map(link => link.status()?.term ?? 0),
      ),
      known: state.lastLeadership(),
      confirmedTerm: state.confirmed().at.term,
      isolationLimit: timings.isolationLimit,
      rejoinLimit: timings.rejoinLimit,
    });
  }

  /** Acts on a problem if that is due; returns the time to the next check. */
  function* handle(problem: Problem, rank: number): Task<Milliseconds> {
    if (!isSameProblem(suspicion?.problem, problem)) {
      suspicion = {problem, since: timer.now()};
      contactReportedSince = undefined;
    }
    const since = suspicion?.since ?? timer.now();
    const delay =
      actionDelayFor(problem.kind, timings) + rank * timings.rankDelay;
    const due = Math.max(since + delay, nextAttemptAt);
    if (timer.now() < due) {
      return Math.min(due - timer.now(), timings.monitorInterval);
    }
    yield* resolveProblem(problem);
    return Math.min(
      Math.max(nextAttemptAt - timer.now(), 0),
      timings.monitorInterval,
    );
  }

  function* resolveProblem(problem: Problem): Task<void> {
    const primaryStatusAt = lastStatusAt(problem.primary);
    const link = state.link(problem.primary ?? '');
    const statuses = yield* pollStatuses(context);
    const decision = evaluateStatusPoll({
      problem,
      address: link?.member.address,
      refused: link?.lossReason() === 'refused',
      responses: statuses,
      groupSize: state.groupSize(),
      heartbeatLimit: timings.primaryHeartbeatLimit,
    });
    contactReportedSince =
      decision === 'primary_heard'
        ? (contactReportedSince ?? timer.now())
        : undefined;
    const waited = timer.now() - (contactReportedSince ?? Infinity);
    if (decision === 'go' || waited >= timings.pathPartitionLimit) {
      const outcome = yield* promote(context, memberId =>
        isAvoided(problem, memberId),
      );
      finish(outcome, problem.kind, problem.primary, primaryStatusAt);
      return;
    }
    nextAttemptAt =
      timer.now() +
      (decision === 'no_majority' ? backoff() : timings.monitorInterval);
  }

  function isAvoided(problem: Problem, memberId: string): boolean {
    const isPrimaryDown =
      problem.kind === 'primary_lost' || problem.kind === 'primary_isolated';
    return (
      (isPrimaryDown && memberId === problem.primary) ||
      options.isLeaving(memberId)
    );
  }

  function lastStatusAt(
    memberId: string | undefined,
  ): Milliseconds | undefined {
    const statusAt = state.link(memberId ?? '')?.statusAt();
    return statusAt === -Infinity ? undefined : statusAt;
  }

  function finish(
    outcome: PromotionOutcome,
    cause: PromotionCause,
    previous: string | undefined,
    primaryStatusAt: Milliseconds | undefined,
  ): void {
    suspicion = undefined;
    if (outcome.kind !== 'promoted') {
      nextAttemptAt = timer.now() + backoff();
      return;
    }
    const {term, primary, durations} = outcome;
    const sinceHeard =
      primaryStatusAt === undefined ? undefined : timer.now() - primaryStatusAt;
    options.onLeadershipChange({
      group: state.members.group().name,
      term,
      primary,
      previous,
      cause,
      durations: {...durations, sinceHeard},
    });
  }

  /**
   * Returns a random backoff, so that failure detectors don't collide
   * repeatedly.
   */
  function backoff(): Milliseconds {
    return random.jitter(timings.promotionBackoff, BACKOFF_JITTER);
  }

  function* maintain(rank: number): Task<void> {
    reconciler.reattachMembers(rank);
    reconfigurer.changeMembers(rank);
    const leadership = state.leadership();
    if (leadership === undefined) {
      return;
    }
    if (!options.isLeaving(leadership.primary)) {
      leavingSince = undefined;
      return;
    }
    leavingSince ??= timer.now();
    const due = leavingSince + rank * timings.catchUpTimeout;
    if (timer.now() >= Math.max(due, nextSwitchOverAt)) {
      yield* moveLeadership(leadership);
    }
  }

  function* moveLeadership(from: Leadership): Task<void> {
    const request = {from, isLeaving: options.isLeaving};
    if (findSuccessor(context, request) === undefined) {
      return;
    }
    const startedAt = timer.now();
    const outcome = yield* switchOver(context, request);
    if (outcome.kind === 'promoted') {
      finish(outcome, 'switch_over', from.primary, startedAt);
    } else {
      nextSwitchOverAt = timer.now() + timings.switchOverBackoff;
    }
  }

  const task: TaskHandle<never> = runtime.spawn(
    `watcher ${state.members.group().name}`,
    monitor(),
  );

  return {
    stop() {
      unsubscribe();
      task.cancel();
    },
  };
}

function isSameProblem(left: Problem | undefined, right: Problem): boolean {
  return (
    left?.kind === right.kind &&
    left.term === right.term &&
    left.primary === right.primary
  );
}

function toMonitoredMember(
  link: MemberLink,
  now: Milliseconds,
): MonitoredMember {
  const isReachable = link.condition() === 'open';
  return {
    id: link.member.id,
    address: link.member.address,
    condition: link.condition(),
    lossReason: link.lossReason(),
    status: link.status(),
    reachableFor: isReachable ? now - link.reachableSince() : 0,
  };
}
