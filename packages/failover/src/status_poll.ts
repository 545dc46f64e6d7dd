/** Polls the status of the members before a promotion and evaluates it. */
import {TargetStatus, targetStatus} from '@kelpstep/protocol';
import type {Milliseconds, Task} from '@kelpstep/runtime';

import {isQuorum} from './candidate_selection';
import type {Problem} from './group_problem';
import {requestFromMembers, resultsOf} from './member_requests';
import {findPrimary} from './member_status';
import type {PromotionContext} from './promotion';

/**
 * `go`: promote. `primary_works`: the primary, or a newer one, has answered.
 * `primary_heard`: replicas are in contact with the primary, so that only this
 * proxy seems partitioned from it. `no_majority`: a promotion could not
 * succeed, so no member should be fenced.
 */
export type PromotionDecision =
  'go' | 'primary_works' | 'primary_heard' | 'no_majority';

export interface StatusPollInput {
  readonly problem: Problem;
  /** Address of the primary concerned. */
  readonly address: string | undefined;
  /**
   * True if no process listens at the address, which outdates the replicas'
   * reports of contact.
   */
  readonly refused: boolean;
  readonly responses: readonly TargetStatus[];
  readonly groupSize: number;
  /**
   * Age of the primary's last message up to which a replica counts as in
   * contact with it.
   */
  readonly heartbeatLimit: Milliseconds;
}

/** Decides from the members' statuses whether to start a promotion. */
export function evaluateStatusPoll(input: StatusPollInput): PromotionDecision {
  const {problem, responses} = input;
  if (isPrimaryWorking(problem, responses)) {
    return 'primary_works';
  }
  if (!isQuorum(responses, input.groupSize)) {
    return 'no_majority';
  }
  const isPrimaryInContact =
    problem.kind === 'primary_lost' &&
    !input.refused &&
    responses.some(response => hasPrimaryContact(response, input));
  return isPrimaryInContact ? 'primary_heard' : 'go';
}

function isPrimaryWorking(
  {kind, term}: Problem,
  statuses: readonly TargetStatus[],
): boolean {
  const primary = findPrimary(statuses);
  if (primary === undefined) {
    return false;
  }
  if (statuses.some(status => status.term > primary.term)) {
    return false;
  }
  const isSame = primary.term === term;
  return isSame
    ? kind === 'primary_lost' || kind === 'leaderless'
    : primary.term > term;
}

function hasPrimaryContact(
  status: TargetStatus,
  input: StatusPollInput,
): boolean {
  return (
    status.term === input.problem.term &&
    status.following === input.address &&
    (status.primarySilence ?? Infinity) < input.heartbeatLimit
  );
}

/** Requests the status of all members; returns those that arrive in time. */
export function* pollStatuses({
  runtime,
  timings,
  state,
}: PromotionContext): Task<TargetStatus[]> {
  const replies = yield* requestFromMembers(
    runtime.timer,
    state.links(),
    targetStatus,
    {},
    timings.requestTimeout,
  );
  return resultsOf(replies);
}
