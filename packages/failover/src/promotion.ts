/**
 * Gives a group a new primary: fences a majority at a new term, promotes the
 * best fenced member, makes the others follow and waits for the barrier to be
 * confirmed. Every request carries the term. If a promoter is suspended at any
 * point, members refuse its late requests once another promoter has fenced
 * them at a higher term.
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
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';

import {chooseCandidate} from './candidate_selection';
import type {ProblemKind} from './group_problem';
import type {GroupState} from './group_state';
import type {Confirmation} from './group_view';
import {requestFromMembers, resultsOf} from './member_requests';
import {nextTerm} from './terms';
import type {FailoverTimings} from './timings';

/** Reason for a promotion: a problem or a planned switch-over. */
export type PromotionCause = ProblemKind | 'switch_over';

/** Durations of a promotion's steps in milliseconds. */
export interface PromotionDurations {
  readonly fence: Milliseconds;
  readonly promote: Milliseconds;
  /** Time from the promotion until a majority held the barrier. */
  readonly barrier: Milliseconds;
}

export type PromotionOutcome =
  | {
      readonly kind: 'promoted';
      readonly term: number;
      readonly primary: string;
      readonly durations: PromotionDurations;
    }
  /** The barrier did not reach a majority in time, but may do so later. */
  | {readonly kind: 'unconfirmed'}
  /** Too few members were fenced. */
  | {readonly kind: 'no_majority'}
  /** Another promoter has fenced a higher term. */
  | {readonly kind: 'overtaken'}
  /** The candidate did not answer; no other may be promoted at the term. */
  | {readonly kind: 'candidate_lost'};

export interface PromotionContext {
  readonly runtime: Runtime;
  readonly timings: FailoverTimings;
  readonly state: GroupState;
  /** Number from 0 to 65535, as returned by `promoterNumberOf`. */
  readonly promoterNumber: number;
  /** Cost of a candidate; of those with equal logs the lowest cost wins. */
  cost(memberId: string): number;
}

export type MemberPredicate = (memberId: string) => boolean;

/**
 * Runs one promotion from fence to barrier. Members for which `isAvoided` is
 * true are promoted only if the other fenced members allow no safe choice.
 */
export function* promote(
  context: PromotionContext,
  isAvoided: MemberPredicate,
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
  sendFollowRequests(context, candidate.target, term);
  const confirmation = yield* waitForBarrier(
    context,
    candidate.target,
    barrier,
  );
  if (confirmation !== 'confirmed') {
    return {kind: confirmation === 'superseded' ? 'overtaken' : 'unconfirmed'};
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
  const replies = yield* requestFromMembers(
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

/**
 * Promotes the candidate and returns the barrier's position; `undefined` unless
 * the candidate's answer or its status shows that it is the primary.
 */
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
  // The answer may have been lost after the promotion took effect.
  const status = yield* waitFor(link.probe(timings.requestTimeout));
  const isPrimary =
    status.ok && status.val.role === 'primary' && status.val.term === term;
  return isPrimary ? status.val.end : undefined;
}

/**
 * Returns the manifest's members as a configuration, which the target uses if
 * its log has none.
 */
function initialConfiguration({members}: GroupState): Configuration {
  return {
    version: members.manifestVersion(),
    members: members.group().members.map(({id, address}) => ({id, address})),
  };
}

/**
 * Waits for the barrier to be confirmed; returns `undecided` if the new primary
 * is lost.
 */
function* waitForBarrier(
  {runtime, timings, state}: PromotionContext,
  primary: string,
  barrier: LogPosition,
): Task<Confirmation> {
  const deadline = runtime.timer.now() + timings.barrierTimeout;
  const pending = state.waiters.wait(barrier, deadline);
  for (;;) {
    const confirmation = yield* waitWithTimeout(
      pending,
      timings.monitorInterval,
    );
    if (confirmation !== undefined) {
      return confirmation;
    }
    if (state.link(primary)?.condition() === 'lost') {
      return 'undecided';
    }
  }
}

/** Sends each request once; the reconciler repeats failed ones. */
function sendFollowRequests(
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
