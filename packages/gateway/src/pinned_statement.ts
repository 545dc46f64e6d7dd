/** Sends the statements of a transaction on its connection. */
import {
  type Milliseconds,
  type Task,
  type TimerService,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {
  type CallerRequest,
  type PreparedShape,
  type SessionSettings,
  type SessionStatement,
  type StatementAnswer,
  sharedStatementName,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';

import type {CallerRoute} from './configuration';

/**
 * A statement to forward, and the prepared statement that it executes, if any.
 */
export interface ResolvedStatement {
  readonly statement: SessionStatement;
  readonly shape: PreparedShape | undefined;
  readonly isWrite: boolean;
}

/**
 * Resolves the session's prepared statement that a statement executes; undefined
 * if there is none of its name.
 */
export function resolveStatement(
  {prepared}: SessionSettings,
  statement: SessionStatement,
): ResolvedStatement | undefined {
  if (statement.kind !== 'execute') {
    const isWrite = statement.kind === 'write';
    return {statement, shape: undefined, isWrite};
  }
  const shape = prepared.get(statement.name);
  if (shape === undefined) {
    return undefined;
  }
  const shared = {...statement, name: sharedStatementName(shape)};
  return {statement: shared, shape, isWrite: shape.access === 'write'};
}

/** Backoff before a statement is sent again after a `busy` answer. */
const BUSY_BACKOFF_MS: Milliseconds = 20;

/**
 * Sends a statement until the target has room for it, within the route's time;
 * undefined if the answer is lost.
 */
export function* sendPinned(
  timer: TimerService,
  {
    pinned,
    route,
  }: {readonly pinned: PinnedConnection; readonly route: CallerRoute},
  id: CallerRequest['id'],
  {statement, shape}: ResolvedStatement,
): Task<StatementAnswer | undefined> {
  const deadline = timer.now() + route.timeout;
  for (;;) {
    const reply = yield* waitFor(
      pinned.send({id, body: statement}, shape, deadline - timer.now()),
    );
    if (reply.err) {
      return undefined;
    }
    const answer = reply.val;
    const mayRepeat = answer.error?.name === 'busy' && answer.state === 'open';
    if (!mayRepeat || timer.now() + BUSY_BACKOFF_MS >= deadline) {
      return answer;
    }
    yield* sleep(BUSY_BACKOFF_MS);
  }
}
