/** What is handed to a dispatcher, and what becomes of it. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds, Task} from '@kelpstep/runtime';
import {
  type PreparedShape,
  type SessionSettings,
  type SessionStatement,
  type StatementAnswer,
  errorAnswer,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';

import type {CallerRoute} from './configuration';

/** A statement outside a transaction, or the start of one. */
export interface Dispatch {
  readonly id: string;
  readonly route: CallerRoute;
  /** Account that targets are told; undefined if callers have none. */
  readonly account: string | undefined;
  readonly statement: SessionStatement;
  readonly shape: PreparedShape | undefined;
  readonly settings: SessionSettings;
  /** Monotonic time at which the request came. */
  readonly arrivedAt: Milliseconds;
  /** End of the session's last commit. */
  readonly lastCommit: LogPosition | undefined;
  /** True if it may only run at the primary. */
  readonly needsPrimary: boolean;
  /** True if it writes: an answer that is lost leaves it in doubt. */
  readonly isWrite: boolean;
  isAbandoned(): boolean;
}

/** What became of it. */
export interface DispatchResult {
  readonly answer: StatementAnswer;
  readonly target: string;
  readonly attempts: number;
  readonly reason: string;
  /** Proxy that ran it for this one; empty if none did. */
  readonly via: string;
  /** There if it began a transaction. */
  readonly pinned: PinnedConnection | undefined;
}

/** Time to come back when nothing better is known. */
export const DEFAULT_RETRY_AFTER: Milliseconds = 300;

/** Tells the caller that nothing has run, why, and when to come back. */
export function refusalAnswer(
  reason: string,
  retryAfter: Milliseconds,
): StatementAnswer {
  const text = `${reason}; retry after ${Math.ceil(retryAfter)} ms`;
  return errorAnswer('busy', 'idle', text);
}

/** Runs statements at the targets that may run them. */
export interface Dispatcher {
  dispatch(work: Dispatch): Task<DispatchResult>;
}

/** Statements of one database name and sort take about the same time. */
export function kindOf({route, statement, isWrite}: Dispatch): string {
  const sort = isWrite
    ? 'write'
    : statement.kind === 'begin'
      ? 'begin'
      : 'read';
  return `${route.database} ${sort}`;
}
