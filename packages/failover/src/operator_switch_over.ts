/** Carries out a switch-over requested by an operator. */
import {Failure, createFailure} from '@kelpstep/protocol';
import {Task, sleep} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {LeadershipChange} from './failure_detector';
import type {PromotionContext} from './promotion';
import {SwitchOverRequest, findSuccessor, switchOver} from './switch_over';

/** Waits for a successor to catch up, then moves the leadership to it. */
export function* runOperatorSwitchOver(
  context: PromotionContext,
  isLeaving: (memberId: string) => boolean,
  successor: string | undefined,
): Task<Result<LeadershipChange, Failure>> {
  const {state, timings, runtime} = context;
  const deadline = runtime.timer.now() + timings.catchUpTimeout;
  for (;;) {
    const from = state.leadership();
    const request = from && {from, isLeaving, successor};
    if (request && findSuccessor(context, request) !== undefined) {
      return yield* moveLeadership(context, request);
    }
    if (runtime.timer.now() >= deadline) {
      return refuse('No member can take over.');
    }
    yield* sleep(timings.monitorInterval);
  }
}

function* moveLeadership(
  context: PromotionContext,
  request: SwitchOverRequest,
): Task<Result<LeadershipChange, Failure>> {
  const {timer} = context.runtime;
  const startedAt = timer.now();
  const outcome = yield* switchOver(context, request);
  if (outcome.kind !== 'promoted') {
    return refuse(`The switch-over ended early: ${outcome.kind}.`);
  }
  const {term, primary, durations} = outcome;
  return Ok({
    group: context.state.members.group().name,
    term,
    primary,
    previous: request.from.primary,
    cause: 'switch_over',
    durations: {...durations, sinceHeard: timer.now() - startedAt},
  });
}

function refuse(message: string): Result<LeadershipChange, Failure> {
  return Err(createFailure('NO_PRIMARY', {message}));
}
