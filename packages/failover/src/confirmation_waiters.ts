/**
 * Keeps the requests that wait for records to be confirmed, in order of the
 * records' log positions.
 */
import {LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  Deferred,
  Future,
  Milliseconds,
  TimerService,
  Unsubscribe,
  createDeferred,
  settledFuture,
} from '@kelpstep/runtime';

import {ConfirmedLog, confirmationOf} from './confirmed_log';
import type {Confirmation} from './group_view';

/** The cost of settling a batch of waiters is proportional to its size. */
export interface ConfirmationWaiters {
  /**
   * Settles once the record is confirmed or superseded, or with `undecided` at
   * the monotonic deadline.
   */
  wait(wanted: LogPosition, deadline: Milliseconds): Future<Confirmation>;
  /**
   * Settles all waiters whose records are not above the highest confirmed one.
   */
  advance(confirmed: ConfirmedLog): void;
  /** Returns the number of waiters that are not settled. */
  size(): number;
}

interface Waiter {
  readonly wanted: LogPosition;
  readonly deferred: Deferred<Confirmation>;
  cancelDeadline: Unsubscribe;
}

/**
 * Settled waiters at the front of the list are removed once there are more than
 * this, or once no other waiter is left.
 */
const COMPACTION_SIZE = 1024;

/** Creates an empty list; `current` returns the latest confirmed log. */
export function createConfirmationWaiters(
  timer: TimerService,
  current: () => ConfirmedLog,
): ConfirmationWaiters {
  const waiters: Waiter[] = [];
  let first = 0;

  function wait(
    wanted: LogPosition,
    deadline: Milliseconds,
  ): Future<Confirmation> {
    const confirmation = confirmationOf(wanted, current());
    if (confirmation !== undefined) {
      return settledFuture(confirmation);
    }
    const deferred = createDeferred<Confirmation>();
    const waiter: Waiter = {wanted, deferred, cancelDeadline: () => {}};
    insert(waiter);
    waiter.cancelDeadline = timer.after(deadline - timer.now(), () => {
      remove(waiter);
      deferred.settle('undecided');
    });
    return deferred.future;
  }

  /** Searches from the end, since records mostly arrive in ascending order. */
  function insert(waiter: Waiter): void {
    let index = waiters.length;
    while (index > first && isAfter(waiters[index - 1], waiter)) {
      index--;
    }
    waiters.splice(index, 0, waiter);
  }

  function remove(waiter: Waiter): void {
    const index = waiters.indexOf(waiter, first);
    if (index >= 0) {
      waiters.splice(index, 1);
    }
  }

  function advance(confirmed: ConfirmedLog): void {
    const due: Waiter[] = [];
    let waiter = waiters[first];
    while (waiter !== undefined && isDecided(waiter, confirmed)) {
      due.push(waiter);
      first++;
      waiter = waiters[first];
    }
    compact();
    for (const {wanted, deferred, cancelDeadline} of due) {
      cancelDeadline();
      deferred.settle(confirmationOf(wanted, confirmed) ?? 'undecided');
    }
  }

  function compact(): void {
    if (first === waiters.length || first > COMPACTION_SIZE) {
      waiters.splice(0, first);
      first = 0;
    }
  }

  return {wait, advance, size: () => waiters.length - first};
}

function isAfter(left: Waiter | undefined, right: Waiter): boolean {
  return (
    left !== undefined && compareLogPositions(left.wanted, right.wanted) > 0
  );
}

function isDecided(waiter: Waiter, confirmed: ConfirmedLog): boolean {
  return compareLogPositions(waiter.wanted, confirmed.at) <= 0;
}
