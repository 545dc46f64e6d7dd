/** Those who wait for records to be confirmed, ordered by record. */
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

import {ConfirmedLog, fateOf} from './confirmed_log';
import type {Confirmation} from './group_view';

/** Waiters; settling a batch costs in proportion to the batch. */
export interface ConfirmationWaiters {
  /** Waits for the fate of a record, at most up to a monotonic deadline. */
  wait(wanted: LogPosition, deadline: Milliseconds): Future<Confirmation>;
  /** Settles everyone whose record is decided by what is confirmed now. */
  advance(confirmed: ConfirmedLog): void;
  /** Waiters that are not settled. */
  size(): number;
}

interface Waiter {
  readonly wanted: LogPosition;
  readonly deferred: Deferred<Confirmation>;
  cancelDeadline: Unsubscribe;
}

/** Settled waiters are cut off the front once there are so many. */
const COMPACTION_SIZE = 1024;

/** Creates an empty list; `current` gives what is confirmed now. */
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
    const fate = fateOf(wanted, current());
    if (fate !== undefined) {
      return settledFuture(fate);
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

  /** Records come mostly in rising order, so the search starts at the end. */
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
      deferred.settle(fateOf(wanted, confirmed) ?? 'undecided');
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
