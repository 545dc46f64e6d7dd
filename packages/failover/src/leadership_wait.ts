/** Waits until the leadership of a group is known. */
import {
  Future,
  Milliseconds,
  TimerService,
  createDeferred,
  settledFuture,
} from '@kelpstep/runtime';

import type {GroupState} from './group_state';
import type {Leadership} from './group_view';

/**
 * Settles with the leadership once it is known, or with `undefined` at the
 * monotonic deadline.
 */
export function awaitLeadership(
  timer: TimerService,
  state: GroupState,
  deadline: Milliseconds,
): Future<Leadership | undefined> {
  const known = state.leadership();
  if (known !== undefined) {
    return settledFuture(known);
  }
  const deferred = createDeferred<Leadership | undefined>();
  const unsubscribe = state.onTopologyChange(() => {
    const leadership = state.leadership();
    if (leadership !== undefined) {
      end(leadership);
    }
  });
  const cancelDeadline = timer.after(deadline - timer.now(), () =>
    end(undefined),
  );
  function end(leadership: Leadership | undefined): void {
    unsubscribe();
    cancelDeadline();
    deferred.settle(leadership);
  }
  return deferred.future;
}
