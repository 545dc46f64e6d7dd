/** A transaction pinned to a connection, and the monitoring of its lifetime. */
import type {Lease} from '@kelpstep/pool';
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds, TimerService, Unsubscribe} from '@kelpstep/runtime';

import type {GroupAccess} from './group_access';

/**
 * An open transaction whose connection this proxy holds. Times are monotonic.
 */
export interface PinnedTransaction {
  readonly id: string;
  readonly group: GroupAccess;
  readonly lease: Lease;
  /** Transaction id assigned by the target. */
  readonly transaction: string;
  readonly term: number;
  readonly primary: string;
  /**
   * The later of the read barrier of `begin` and the position in the session's
   * token then. Every statement must be executed at this position or a later
   * one.
   */
  readonly minimumPosition: LogPosition;
  readonly freshAt: Milliseconds;
  readonly expiresAt: Milliseconds;
  lastUsedAt: Milliseconds;
  isBusy: boolean;
  stopMonitoring: Unsubscribe;
}

/** Callbacks for the end of a monitored transaction. */
export interface TransactionListener {
  /** Called when the connection has closed while no statement was running. */
  onClosed(): void;
  /** Called when the transaction must end. No statement is running in it. */
  onExpired(reason: string): void;
}

/** Interval of expiry checks while a statement runs past the limits. */
const BUSY_RECHECK_INTERVAL_MS: Milliseconds = 100;

/** True if a primary of a higher term than the transaction's is known. */
export function isReplaced({group, term}: PinnedTransaction): boolean {
  const leadership = group.view.leadership();
  return leadership !== undefined && leadership.term > term;
}

/**
 * Monitors the transaction's expiry, primary and connection, with one timer. A
 * running statement is never interrupted; the checks are repeated when it ends.
 */
export function monitorTransaction(
  timer: TimerService,
  transaction: PinnedTransaction,
  idleTime: Milliseconds,
  listener: TransactionListener,
): Unsubscribe {
  const {group, lease} = transaction;
  let cancelTimer: Unsubscribe = () => {};
  const unsubscribeFromView = group.view.onChange(() => {
    if (!transaction.isBusy && isReplaced(transaction)) {
      listener.onExpired('the primary was replaced');
    }
  });
  const unsubscribeFromClose = lease.closed.onSettled(() => {
    if (!transaction.isBusy) {
      listener.onClosed();
    }
  });

  function checkExpiry(): void {
    const now = timer.now();
    const expiresAt = Math.min(
      transaction.lastUsedAt + idleTime,
      transaction.expiresAt,
    );
    if (now >= expiresAt && !transaction.isBusy) {
      listener.onExpired('past its time');
      return;
    }
    const minimumDelay = transaction.isBusy ? BUSY_RECHECK_INTERVAL_MS : 0;
    cancelTimer = timer.after(
      Math.max(expiresAt - now, minimumDelay),
      checkExpiry,
    );
  }

  checkExpiry();
  return () => {
    unsubscribeFromView();
    unsubscribeFromClose();
    cancelTimer();
  };
}
