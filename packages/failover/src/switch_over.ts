/**
 * Carries out a planned change of primary: pauses writes, waits until the
 * successor has reached the end of the log, then promotes it. Writes are paused
 * for only a few round trips.
 */
import {TargetStatus, logContains, targetPauseWrites} from '@kelpstep/protocol';
import {
  Task,
  createDeferred,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';

import type {Leadership} from './group_view';
import type {MemberLink} from './member_link';
import {canVote} from './member_status';
import {PromotionContext, PromotionOutcome, promote} from './promotion';

export type SwitchOverOutcome =
  | PromotionOutcome
  /** No eligible member has caught up closely enough. */
  | {readonly kind: 'no_successor'}
  /** The primary did not pause its writes. */
  | {readonly kind: 'not_paused'}
  /** The successor did not reach the end in time; the pause expires. */
  | {readonly kind: 'successor_late'};

export interface SwitchOverRequest {
  readonly from: Leadership;
  /** True for members that must not become primary. */
  isLeaving(memberId: string): boolean;
  /** Member id of the successor; the best candidate by default. */
  readonly successor?: string | undefined;
}

/**
 * Runs one switch-over; returns before pausing writes if there is no successor.
 */
export function* switchOver(
  context: PromotionContext,
  request: SwitchOverRequest,
): Task<SwitchOverOutcome> {
  const {state, timings} = context;
  const {term, primary} = request.from;
  const successor = findSuccessor(context, request);
  const primaryLink = state.link(primary);
  if (successor === undefined || primaryLink === undefined) {
    return {kind: 'no_successor'};
  }
  const paused = yield* waitFor(
    primaryLink.request(
      targetPauseWrites,
      {term, durationMilliseconds: timings.writePause},
      timings.requestTimeout,
    ),
  );
  if (paused.err) {
    return {kind: 'not_paused'};
  }
  const {end} = paused.val;
  const reached = yield* waitForStatus(context, successor, status =>
    logContains(status.history, status.end, end),
  );
  if (!reached) {
    return {kind: 'successor_late'};
  }
  return yield* promote(
    {...context, cost: costPreferring(context, request, successor.member.id)},
    memberId => memberId === primary || request.isLeaving(memberId),
  );
}

function costPreferring(
  context: PromotionContext,
  request: SwitchOverRequest,
  successor: string,
): (memberId: string) => number {
  return memberId => {
    if (memberId === successor) {
      return -Infinity;
    }
    return memberId === request.from.primary
      ? Infinity
      : context.cost(memberId);
  };
}

/** Returns the caught-up, eligible member with the most records, if any. */
export function findSuccessor(
  {state, timings, cost}: PromotionContext,
  {from, isLeaving, successor}: SwitchOverRequest,
): MemberLink | undefined {
  const end = state.link(from.primary)?.status()?.end.position ?? 0;
  const voters = state.members.voters();
  let best: MemberLink | undefined;
  for (const link of state.links()) {
    const status = link.status();
    const {id} = link.member;
    const eligible =
      id !== from.primary &&
      !isLeaving(id) &&
      voters.includes(id) &&
      (successor === undefined || id === successor) &&
      link.condition() === 'open' &&
      status !== undefined &&
      canVote(status) &&
      status.term === from.term &&
      end - status.end.position <= timings.catchUpRecords;
    if (eligible && isBetter(link, best, cost)) {
      best = link;
    }
  }
  return best;
}

function isBetter(
  link: MemberLink,
  best: MemberLink | undefined,
  cost: (memberId: string) => number,
): boolean {
  const position = link.status()?.end.position ?? 0;
  const bestPosition = best?.status()?.end.position ?? -1;
  return (
    position > bestPosition ||
    (position === bestPosition &&
      best !== undefined &&
      cost(link.member.id) < cost(best.member.id))
  );
}

/** Waits until a member's status matches; returns false on timeout. */
function* waitForStatus(
  {state, timings}: PromotionContext,
  link: MemberLink,
  matches: (status: TargetStatus) => boolean,
): Task<boolean> {
  const reached = createDeferred<true>();
  function check(): void {
    const status = link.status();
    if (status !== undefined && matches(status)) {
      reached.settle(true);
    }
  }
  const unsubscribe = state.onChange(check);
  try {
    check();
    const result = yield* waitWithTimeout(
      reached.future,
      timings.successorTimeout,
    );
    return result === true;
  } finally {
    unsubscribe();
  }
}
