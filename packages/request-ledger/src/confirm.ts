/** Waiting for records to be confirmed. */
import type {Confirmation} from '@kelpstep/failover';
import type {LogPosition} from '@kelpstep/protocol';
import {Task, waitFor} from '@kelpstep/runtime';

import type {RequestContext} from './request_context';

/** Waits for the fate of a record until the request's deadline. */
export function* awaitConfirmation(
  context: RequestContext,
  at: LogPosition,
): Task<Confirmation> {
  const {group, runtime, deadline} = context;
  const since = runtime.timer.now();
  const fate = yield* waitFor(group.view.confirmation(at, deadline));
  if (fate === 'confirmed') {
    group.noteConfirmationTime(runtime.timer.now() - since);
  }
  return fate;
}

/**
 * True if the target that answered as primary of `term` still was the primary
 * after it had answered, and all that its log held then is confirmed. An
 * answer that depends on the log, such as "this key is cancelled", counts only
 * then: a primary that was replaced may speak from records that vanish.
 */
export function* verifyPrimary(
  context: RequestContext,
  term: number,
): Task<boolean> {
  const {view} = context.group;
  const end = yield* waitFor(view.readBarrier(context.deadline));
  if (end === undefined) {
    return false;
  }
  if (end.term !== term) {
    view.observeTerm(end.term);
    return false;
  }
  return (yield* awaitConfirmation(context, end)) === 'confirmed';
}
