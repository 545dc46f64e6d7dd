/** A transaction pinned to a connection, and the watch over it. */
import type {Lease} from '@kelpstep/pool';
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds, TimerService, Unsubscribe} from '@kelpstep/runtime';

import type {GroupAccess} from './group_access';

/** A transaction that this proxy holds. */
export interface PinnedTransaction {
  readonly id: string;
  readonly group: GroupAccess;
  readonly lease: Lease;
  /** The target's id of the transaction. */
  readonly transaction: string;
  readonly term: number;
  readonly primary: string;
  /** The begin's read barrier, and what the session had seen. */
  readonly floor: LogPosition;
  readonly freshAt: Milliseconds;
  readonly endsAt: Milliseconds;
  usedAt: Milliseconds;
  isBusy: boolean;
  stopWatching: Unsubscribe;
}

/** What the watch tells of. */
export interface WatchListener {
  /** The connection ended by itself. */
  onClosed(): void;
  /** The transaction has to end; no statement is running in it. */
  onExpired(reason: string): void;
}

/** How long a statement that runs past the limits is waited for at a time. */
const BUSY_RECHECK: Milliseconds = 100;

/** True once a later primary than the transaction's is known. */
export function isReplaced({group, term}: PinnedTransaction): boolean {
  const leadership = group.view.leadership();
  return leadership !== undefined && leadership.term > term;
}

/**
 * Watches the transaction's time, primary and connection, with one timer. A
 * statement that is running is never cut off: its end asks again.
 */
export function watchTransaction(
  timer: TimerService,
  transaction: PinnedTransaction,
  idleTime: Milliseconds,
  listener: WatchListener,
): Unsubscribe {
  const {group, lease} = transaction;
  let cancelTimer: Unsubscribe = () => {};
  const stopFollowing = group.view.onChange(() => {
    if (!transaction.isBusy && isReplaced(transaction)) {
      listener.onExpired('the primary was replaced');
    }
  });
  const ignoreClose = lease.closed.onSettled(() => {
    if (!transaction.isBusy) {
      listener.onClosed();
    }
  });

  function checkTime(): void {
    const now = timer.now();
    const end = Math.min(transaction.usedAt + idleTime, transaction.endsAt);
    if (now >= end && !transaction.isBusy) {
      listener.onExpired('past its time');
      return;
    }
    const least = transaction.isBusy ? BUSY_RECHECK : 0;
    cancelTimer = timer.after(Math.max(end - now, least), checkTime);
  }

  checkTime();
  return () => {
    stopFollowing();
    ignoreClose();
    cancelTimer();
  };
}
