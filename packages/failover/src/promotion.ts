/**
 * Gives a group a new primary: fences a majority at a new term, promotes the
 * best of the fenced, makes the others follow and waits for the barrier. Every
 * step names its term, so a promoter that was paused anywhere finds its late
 * steps refused once another has fenced a higher term.
 */
import {
  Configuration,
  LogPosition,
  TargetStatus,
  targetFence,
  targetFollow,
  targetPromote,
} from '@kelpstep/protocol';
import {
  Milliseconds,
  Runtime,
  Task,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';

import {askMembers, resultsOf} from './ask_members';
import type {GroupState} from './group_state';
import type {Confirmation} from './group_view';
import {chooseCandidate} from './promotion_choice';
import type {ProblemKind} from './situation';
import {nextTerm} from './terms';
import type {FailoverTimings} from './timings';

/** Why a promotion was tried. */
export type PromotionCause = ProblemKind | 'switch_over';

/** How long the steps of a promotion took. */
export interface PromotionDurations {
  readonly fence: Milliseconds;
  readonly promote: Milliseconds;
  /** From the promotion until the barrier was on a majority. */
  readonly barrier: Milliseconds;
}

/** How a promotion ended. */
export type PromotionOutcome =
  | {
      readonly kind: 'promoted';
      readonly term: number;
      readonly primary: string;
      readonly durations: PromotionDurations;
    }
  /** The barrier did not reach a majority in time; it still may. */
  | {readonly kind: 'unconfirmed'}
  /** Too few members were fenced. */
  | {readonly kind: 'no_majority'}
  /** Somebody has fenced a higher term. */
  | {readonly kind: 'overtaken'}
  /** The candidate did not answer; nobody else may be promoted at the term. */
  | {readonly kind: 'candidate_lost'};

/** What promotions use. */
export interface PromotionContext {
  readonly runtime: Runtime;
  readonly timings: FailoverTimings;
  readonly state: GroupState;
  /** 0 to 65535, different for each promoter. */
  readonly promoterNumber: number;
  /** Decides between equal logs: the lower number goes first. */
  cost(memberId: string): number;
}

/** Members to pass over if a majority remains without them. */
export type Avoidance = (memberId: string) => boolean;

/** Runs one promotion from fence to barrier. */
export function* promote(
  context: PromotionContext,
  isAvoided: Avoidance,
): Task<PromotionOutcome> {
  const {state, runtime, promoterNumber} = context;
  const {timer} = runtime;
  const term = nextTerm(state.highestTerm(), promoterNumber);
  state.observeTerm(term);

  const fenceStart = timer.now();
  const fenced = yield* fence(context, term);
  if (fenced === 'overtaken') {
    return {kind: 'overtaken'};
  }
  const candidate = chooseCandidate(fenced, {
    groupSize: state.groupSize(),
    isAvoided,
    cost: memberId => context.cost(memberId),
  });
  if (candidate === undefined) {
    return {kind: 'no_majority'};
  }

  const promoteStart = timer.now();
  const barrier = yield* promoteCandidate(context, candidate.target, term);
  if (barrier === undefined) {
    return {kind: 'candidate_lost'};
  }

  const barrierStart = timer.now();
  orderToFollow(context, candidate.target, term);
  const fate = yield* waitForBarrier(context, candidate.target, barrier);
  if (fate !== 'confirmed') {
    return {kind: fate === 'superseded' ? 'overtaken' : 'unconfirmed'};
  }
  return {
    kind: 'promoted',
    term,
    primary: candidate.target,
    durations: {
      fence: promoteStart - fenceStart,
      promote: barrierStart - promoteStart,
      barrier: timer.now() - barrierStart,
    },
  };
}

function* fence(
  {runtime, timings, state}: PromotionContext,
  term: number,
): Task<TargetStatus[] | 'overtaken'> {
  const replies = yield* askMembers(
    runtime.timer,
    state.links(),
    targetFence,
    {term},
    timings.requestTimeout,
  );
  let overtaken = false;
  for (const {refusal} of replies) {
    if (refusal?.name === 'TERM_TOO_LOW') {
      state.observeTerm(refusal.term ?? term);
      overtaken = true;
    }
  }
  return overtaken ? 'overtaken' : resultsOf(replies);
}

/** The barrier's position, or undefined if the promotion is not certain. */
function* promoteCandidate(
  {timings, state}: PromotionContext,
  candidate: string,
  term: number,
) {
  const link = state.link(candidate);
  if (link === undefined) {
    return undefined;
  }
  const request = {term, configuration: initialConfiguration(state)};
  const promoted = yield* waitFor(
    link.request(targetPromote, request, timings.requestTimeout),
  );
  if (promoted.ok) {
    return promoted.val.at;
  }
  // The answer may have been lost after the effect.
  const status = yield* waitFor(link.ask(timings.requestTimeout));
  const leads =
    status.ok && status.val.role === 'primary' && status.val.term === term;
  return leads ? status.val.end : undefined;
}

/** What the manifest wants: it counts if no log has a configuration yet. */
function initialConfiguration({members}: GroupState): Configuration {
  return {
    version: members.manifestVersion(),
    members: members.group().members.map(({id, address}) => ({id, address})),
  };
}

/** Waits for the barrier's majority, unless its primary is lost as well. */
function* waitForBarrier(
  {runtime, timings, state}: PromotionContext,
  primary: string,
  barrier: LogPosition,
): Task<Confirmation> {
  const deadline = runtime.timer.now() + timings.barrierTimeout;
  const pending = state.waiters.wait(barrier, deadline);
  for (;;) {
    const fate = yield* waitAtMost(pending, timings.watchPeriod);
    if (fate !== undefined) {
      return fate;
    }
    if (state.link(primary)?.condition() === 'lost') {
      return 'undecided';
    }
  }
}

/** Orders that are lost here are repeated by the watchers' reconciliation. */
function orderToFollow(
  {timings, state}: PromotionContext,
  primary: string,
  term: number,
): void {
  const address = state.link(primary)?.member.address;
  for (const link of state.links()) {
    if (link.member.id !== primary && address !== undefined) {
      link.request(
        targetFollow,
        {term, primary: address},
        timings.requestTimeout,
      );
    }
  }
}
