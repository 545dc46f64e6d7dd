/** Asks the members before a promotion whether it is possible and needed. */
import {TargetStatus, targetStatus} from '@kelpstep/protocol';
import type {Milliseconds, Task} from '@kelpstep/runtime';

import {askMembers, resultsOf} from './ask_members';
import {findPrimary} from './member_status';
import type {PromotionContext} from './promotion';
import {isQuorum} from './promotion_choice';
import type {Problem} from './situation';

/**
 * `go`: promote. `primary_works`: another primary, or this one after all,
 * answers. `primary_heard`: only this watcher's path to it is cut.
 * `no_majority`: a promotion could not succeed, so nobody is fenced.
 */
export type Verdict = 'go' | 'primary_works' | 'primary_heard' | 'no_majority';

/** What the verdict rests on. */
export interface SurveyInput {
  readonly problem: Problem;
  /** Address of the primary concerned. */
  readonly address: string | undefined;
  /** True if nobody listens there: then what replicas heard is over. */
  readonly refused: boolean;
  readonly answers: readonly TargetStatus[];
  readonly groupSize: number;
  /** How recently a replica must have heard the primary to count. */
  readonly heardWithin: Milliseconds;
}

/** Judges the answers. */
export function judgeSurvey(input: SurveyInput): Verdict {
  const {problem, answers} = input;
  if (isPrimaryWorking(problem, answers)) {
    return 'primary_works';
  }
  if (!isQuorum(answers, input.groupSize)) {
    return 'no_majority';
  }
  const heard =
    problem.kind === 'primary_lost' &&
    !input.refused &&
    answers.some(answer => hears(answer, input));
  return heard ? 'primary_heard' : 'go';
}

function isPrimaryWorking(
  {kind, term}: Problem,
  answers: readonly TargetStatus[],
): boolean {
  const primary = findPrimary(answers);
  if (primary === undefined) {
    return false;
  }
  if (answers.some(answer => answer.term > primary.term)) {
    return false;
  }
  const isSame = primary.term === term;
  return isSame
    ? kind === 'primary_lost' || kind === 'leaderless'
    : primary.term > term;
}

function hears(answer: TargetStatus, input: SurveyInput): boolean {
  return (
    answer.term === input.problem.term &&
    answer.following === input.address &&
    (answer.primarySilence ?? Infinity) < input.heardWithin
  );
}

/** Asks all members that can be reached. */
export function* survey({
  runtime,
  timings,
  state,
}: PromotionContext): Task<TargetStatus[]> {
  const replies = yield* askMembers(
    runtime.timer,
    state.links(),
    targetStatus,
    {},
    timings.requestTimeout,
  );
  return resultsOf(replies);
}
