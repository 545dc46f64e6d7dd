/**
 * Watches one group: replaces a lost primary, moves a leaving one, and brings
 * members back that don't follow. Several proxies watch a group; each waits
 * longer by its rank, and all of them at once would do no harm.
 */
import {
  Milliseconds,
  Task,
  TaskHandle,
  createMailbox,
  receiveAtMost,
} from '@kelpstep/runtime';

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
import {Problem, WatchedMember, findProblem, patienceFor} from './situation';
import {judgeSurvey, survey} from './survey';
import {findSuccessor, switchOver} from './switch_over';

/** A change of leadership that this proxy brought about. */
export interface LeadershipChange {
  readonly group: string;
  readonly term: number;
  /** Member id of the new primary. */
  readonly primary: string;
  /** Member id of the former primary, if one was known. */
  readonly previous: string | undefined;
  readonly cause: PromotionCause;
  readonly durations: PromotionDurations & {
    /** Since the former primary was last heard, if it was. */
    readonly sinceHeard: Milliseconds | undefined;
  };
}

/** A running watcher. */
export interface Watcher {
  stop(): void;
}

/** What a watcher is made of. */
export interface WatcherOptions {
  readonly context: PromotionContext;
  /** 0 acts first; `undefined` if this proxy does not watch the group. */
  rank(): number | undefined;
  isLeaving(memberId: string): boolean;
  /** Monotonic time of the last round that a majority answered. */
  majorityAskedAt(): Milliseconds;
  onLeadershipChange(change: LeadershipChange): void;
}

interface Suspicion {
  readonly problem: Problem;
  readonly since: Milliseconds;
}

const BACKOFF_JITTER = 0.5;

/** Starts watching. */
export function createWatcher(options: WatcherOptions): Watcher {
  const {context} = options;
  const {state, timings, runtime} = context;
  const {timer, random} = runtime;
  const wake = createMailbox<'shifted'>();
  const reconciler = createReconciler(context, options.majorityAskedAt);
  const reconfigurer = createReconfigurer(context);
  let suspicion: Suspicion | undefined;
  /** Since when replicas have told that they hear a primary lost to us. */
  let heardSince: Milliseconds | undefined;
  let notBefore: Milliseconds = 0;
  let leavingSince: Milliseconds | undefined;
  let switchOverAt: Milliseconds = 0;

  const unsubscribe = state.onShift(() => {
    if (wake.size() === 0) {
      wake.post('shifted');
    }
  });

  function* watch(): Task<never> {
    let pause: Milliseconds = 0;
    for (;;) {
      yield* receiveAtMost(wake, pause);
      const rank = options.rank();
      const problem = rank === undefined ? undefined : findProblemNow();
      pause = timings.watchPeriod;
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

  function findProblemNow(): Problem | undefined {
    const electorate = state.members.electorate();
    const isCounted = (link: MemberLink) => electorate.includes(link.member.id);
    const joiners = state.links().filter(link => !isCounted(link));
    return findProblem({
      members: state
        .links()
        .filter(isCounted)
        .map(link => describeMember(link, timer.now())),
      joinersTerm: Math.max(
        0,
        ...joiners.map(link => link.status()?.term ?? 0),
      ),
      known: state.lastLeadership(),
      confirmedTerm: state.confirmed().at.term,
      isolationLimit: timings.isolationLimit,
      reunionLimit: timings.reunionLimit,
    });
  }

  /** Handles a problem if it is time to; gives the pause until the next look. */
  function* handle(problem: Problem, rank: number): Task<Milliseconds> {
    if (!isSameProblem(suspicion?.problem, problem)) {
      suspicion = {problem, since: timer.now()};
      heardSince = undefined;
    }
    const since = suspicion?.since ?? timer.now();
    const patience =
      patienceFor(problem.kind, timings) + rank * timings.rankDelay;
    const due = Math.max(since + patience, notBefore);
    if (timer.now() < due) {
      return Math.min(due - timer.now(), timings.watchPeriod);
    }
    yield* act(problem);
    return Math.min(Math.max(notBefore - timer.now(), 0), timings.watchPeriod);
  }

  function* act(problem: Problem): Task<void> {
    const heardAt = lastHeardAt(problem.primary);
    const link = state.link(problem.primary ?? '');
    const answers = yield* survey(context);
    const verdict = judgeSurvey({
      problem,
      address: link?.member.address,
      refused: link?.lossReason() === 'refused',
      answers,
      groupSize: state.groupSize(),
      heardWithin: timings.primaryHeardWithin,
    });
    heardSince =
      verdict === 'primary_heard' ? (heardSince ?? timer.now()) : undefined;
    const waited = timer.now() - (heardSince ?? Infinity);
    if (verdict === 'go' || waited >= timings.pathCutLimit) {
      const outcome = yield* promote(context, memberId =>
        isAvoided(problem, memberId),
      );
      finish(outcome, problem.kind, problem.primary, heardAt);
      return;
    }
    notBefore =
      timer.now() +
      (verdict === 'no_majority' ? backoff() : timings.watchPeriod);
  }

  function isAvoided(problem: Problem, memberId: string): boolean {
    const isGone =
      problem.kind === 'primary_lost' || problem.kind === 'primary_isolated';
    return (
      (isGone && memberId === problem.primary) || options.isLeaving(memberId)
    );
  }

  function lastHeardAt(memberId: string | undefined): Milliseconds | undefined {
    const statusAt = state.link(memberId ?? '')?.statusAt();
    return statusAt === -Infinity ? undefined : statusAt;
  }

  function finish(
    outcome: PromotionOutcome,
    cause: PromotionCause,
    previous: string | undefined,
    heardAt: Milliseconds | undefined,
  ): void {
    suspicion = undefined;
    if (outcome.kind !== 'promoted') {
      notBefore = timer.now() + backoff();
      return;
    }
    const {term, primary, durations} = outcome;
    const sinceHeard =
      heardAt === undefined ? undefined : timer.now() - heardAt;
    options.onLeadershipChange({
      group: state.members.group().name,
      term,
      primary,
      previous,
      cause,
      durations: {...durations, sinceHeard},
    });
  }

  /** Different for each watcher, so that two which met don't meet again. */
  function backoff(): Milliseconds {
    return random.jitter(timings.promotionBackoff, BACKOFF_JITTER);
  }

  function* maintain(rank: number): Task<void> {
    reconciler.bringBackStrays(rank);
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
    const due = leavingSince + rank * timings.catchUpLimit;
    if (timer.now() >= Math.max(due, switchOverAt)) {
      yield* moveLeadership(leadership);
    }
  }

  function* moveLeadership(from: Leadership): Task<void> {
    const request = {from, isLeaving: options.isLeaving};
    if (findSuccessor(context, request) === undefined) {
      return;
    }
    const heardAt = timer.now();
    const outcome = yield* switchOver(context, request);
    if (outcome.kind === 'promoted') {
      finish(outcome, 'switch_over', from.primary, heardAt);
    } else {
      switchOverAt = timer.now() + timings.switchOverRetry;
    }
  }

  const task: TaskHandle<never> = runtime.spawn(
    `watcher ${state.members.group().name}`,
    watch(),
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

function describeMember(link: MemberLink, now: Milliseconds): WatchedMember {
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
