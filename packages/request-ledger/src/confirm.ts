/** Waits for log records to be confirmed. */
import type {Confirmation} from '@kelpstep/failover';
import type {LogPosition} from '@kelpstep/protocol';
import {Task, waitFor} from '@kelpstep/runtime';

import type {RequestContext} from './request_context';

/** Waits for a record's confirmation, until the request's deadline at most. */
export function* awaitConfirmation(
  context: RequestContext,
  at: LogPosition,
): Task<Confirmation> {
  const {group, runtime, deadline} = context;
  const startedAt = runtime.timer.now();
  const confirmation = yield* waitFor(group.view.confirmation(at, deadline));
  if (confirmation === 'confirmed') {
    group.observeConfirmationTime(runtime.timer.now() - startedAt);
  }
  return confirmation;
}

/**
 * True if the target that answered as primary of `term` was still the primary
 * after its answer, and every record in its log at that time is confirmed. An
 * answer that depends on the log, such as "this key is cancelled", is valid
 * only then: a replaced primary may rely on records that are later discarded.
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
