/** Requests to a dispatcher and their results. */
import type {LogPosition} from '@kelpstep/protocol';
import {spreadRetryAfter} from '@kelpstep/pool';
import type {Milliseconds, Random, Task} from '@kelpstep/runtime';
import {
  type PreparedShape,
  type SessionSettings,
  type SessionStatement,
  type StatementAnswer,
  errorAnswer,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';

import type {CallerRoute} from './configuration';
import type {RunCounter} from './statement_runs';

/** A statement outside a transaction, or one that begins a transaction. */
export interface DispatchRequest {
  readonly id: string;
  readonly route: CallerRoute;
  /** Client account that is passed to targets; undefined if there is none. */
  readonly account: string | undefined;
  readonly statement: SessionStatement;
  readonly shape: PreparedShape | undefined;
  readonly settings: SessionSettings;
  /** Monotonic time at which the request arrived. */
  readonly arrivedAt: Milliseconds;
  /** Log position of the session's last commit. */
  readonly lastCommit: LogPosition | undefined;
  /** True if it may run only on the primary. */
  readonly needsPrimary: boolean;
  /** True if it writes; its outcome is in doubt if the answer is lost. */
  readonly isWrite: boolean;
  /** Counts the attempts that may have run, here and at peers. */
  readonly runs: RunCounter;
  isAbandoned(): boolean;
}

/** Answer to a dispatched request, and how it was obtained. */
export interface DispatchResult {
  readonly answer: StatementAnswer;
  readonly target: string;
  readonly attempts: number;
  readonly reason: string;
  /** Peer that ran the request; empty if none did. */
  readonly via: string;
  /** Set if the request began a transaction. */
  readonly pinned: PinnedConnection | undefined;
}

/** Share of a statement's timeout for which it may wait for a target. */
const MAXIMUM_WAIT_RATIO = 0.85;

/** Monotonic time by which a statement must have started. */
export function latestStart({arrivedAt, route}: DispatchRequest): Milliseconds {
  return arrivedAt + route.timeout * MAXIMUM_WAIT_RATIO;
}

/** Reason of refusals because no connection becomes free in time. */
export const NO_ROOM = 'no room';

/** Retry delay of refusals without a better estimate. */
export const DEFAULT_RETRY_AFTER_MS: Milliseconds = 300;

/**
 * Retry delay of a statement that could start after `wait`: from then on,
 * spread over the same length of time again.
 */
export function retryAfterWait(
  random: Random,
  wait: Milliseconds,
): Milliseconds {
  return spreadRetryAfter({drainTime: wait, refusedTime: 0}, random);
}

/** Answers a statement that has not run with the reason and a retry delay. */
export function refusalAnswer(
  reason: string,
  retryAfter: Milliseconds,
): StatementAnswer {
  const text = `${reason}; retry after ${Math.ceil(retryAfter)} ms`;
  return errorAnswer('busy', 'idle', text);
}

/** Runs statements on targets that are allowed to run them. */
export interface Dispatcher {
  dispatch(request: DispatchRequest): Task<DispatchResult>;
}

/** Statistics key of statements that are expected to take the same time. */
export function statementKindOf({
  route,
  statement,
  isWrite,
}: DispatchRequest): string {
  const operation = isWrite
    ? 'write'
    : statement.kind === 'begin'
      ? 'begin'
      : 'read';
  return `${route.database} ${operation}`;
}
