/**
 * Waits of client accounts for their own connections. While a connection of an
 * account is expected to become free sooner than a new one could be opened, the
 * account's statements wait for it: opening occupies a slot of the target and
 * may close an idle connection of another account.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {ConnectionUser} from '@kelpstep/statements';

import type {SharedConnections} from './shared_connections';

export interface ConnectionWaitsOptions {
  readonly timer: TimerService;
  readonly connections: Pick<SharedConnections, 'setupTime' | 'mayOpen'>;
  /** Called at the end of a wait. */
  onWaitEnd(): void;
}

/** Queued statements of one user, in order. */
export interface WaitingStatements {
  readonly user: ConnectionUser;
  /** Earliest of their latest starts. */
  readonly latestStart: Milliseconds;
  /** Expected slot times. */
  readonly expected: readonly Milliseconds[];
  /** True if no other user's statement can start. */
  readonly isSlotUnused: boolean;
}

/** Decides which users wait for their own connections. */
export interface ConnectionWaits {
  /**
   * Adds a connection of the user that is in use for one statement. The
   * returned function removes it. Connections that a transaction pins are not
   * added, because their end is not known.
   */
  add(user: ConnectionUser, expected: Milliseconds): () => void;
  /**
   * True if the statements wait. The wait ends early enough to open a
   * connection before the latest start, so that an own connection which never
   * becomes free does not prevent the start.
   */
  isWaiting(statements: WaitingStatements): boolean;
}

interface DueConnection {
  /** Monotonic time at which the connection is expected to become free. */
  readonly dueAt: Milliseconds;
}

/**
 * Set-ups that closing another account's idle connection costs: that of the new
 * connection, and later that of the closed one.
 */
const EVICTION_SETUP_COUNT = 2;

/** Creates a registry in which no connection is in use. */
export function createConnectionWaits(
  options: ConnectionWaitsOptions,
): ConnectionWaits {
  const {timer, connections} = options;
  const inUse = new Map<string, Set<DueConnection>>();
  let nextEnd = Infinity;

  /**
   * Slot time of the statements behind the first. It justifies another
   * connection only in a slot that is unused otherwise.
   */
  function backlogOf(
    {expected, isSlotUnused}: WaitingStatements,
    setupTime: Milliseconds,
  ): Milliseconds {
    if (!isSlotUnused) {
      return 0;
    }
    const backlog = expected
      .slice(0, -1)
      .reduce((sum, duration) => sum + duration, 0);
    const evictionCost = connections.mayOpen()
      ? 0
      : EVICTION_SETUP_COUNT * setupTime;
    return Math.max(0, backlog - evictionCost);
  }

  /** Monotonic end of the wait; `-Infinity` if the statements do not wait. */
  function endOfWait(statements: WaitingStatements): Milliseconds {
    const {user, latestStart} = statements;
    const own = user === undefined ? undefined : inUse.get(user);
    const setupTime = connections.setupTime(user);
    if (own === undefined || setupTime === 0) {
      return -Infinity;
    }
    const now = timer.now();
    const longestWait = setupTime - backlogOf(statements, setupTime) / own.size;
    // An overdue connection is expected to take as long again as it is late.
    const ends = [...own]
      .filter(({dueAt}) => Math.abs(now - dueAt) < longestWait)
      .map(({dueAt}) => dueAt + longestWait);
    return Math.min(Math.max(-Infinity, ...ends), latestStart - setupTime);
  }

  function notifyAt(time: Milliseconds): void {
    if (time >= nextEnd) {
      return;
    }
    nextEnd = time;
    timer.after(time - timer.now(), () => {
      nextEnd = nextEnd === time ? Infinity : nextEnd;
      options.onWaitEnd();
    });
  }

  return {
    add(user, expected) {
      if (user === undefined) {
        return () => {};
      }
      const dueAt = timer.now() + connections.setupTime(user) + expected;
      const entry = {dueAt};
      const own = inUse.get(user) ?? new Set();
      inUse.set(user, own.add(entry));
      return () => {
        own.delete(entry);
        if (own.size === 0) {
          inUse.delete(user);
        }
      };
    },
    isWaiting(statements) {
      const end = endOfWait(statements);
      const isWaiting = end > timer.now();
      if (isWaiting) {
        notifyAt(end);
      }
      return isWaiting;
    },
  };
}
