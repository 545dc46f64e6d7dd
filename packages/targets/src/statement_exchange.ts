/** Sends one statement on a shared connection, with the settings it needs. */
import {
  type Milliseconds,
  type Task,
  type TimerService,
  waitFor,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type StatementAnswer,
  recordApplied,
  planDifference,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {SharedConnection} from './shared_connections';
import type {StatementRequest} from './statement_request';
import type {WriteProgress} from './write_progress';

/** A statement, and the connection on which it is sent. */
export interface StatementExchange {
  readonly timer: TimerService;
  readonly shared: SharedConnection;
  readonly statement: Pick<StatementRequest, 'settings' | 'shape' | 'request'>;
  readonly timeout: Milliseconds;
  readonly isInTransaction: boolean;
  /** True if the open transaction has written; false by default. */
  readonly hasWritten?: boolean;
  readonly writes: WriteProgress;
  onAnswers(
    requestedAt: Milliseconds,
    answers: readonly StatementAnswer[],
  ): void;
}

/** True for a single statement that writes. */
export function isWrite({
  request,
  shape,
}: Pick<StatementRequest, 'shape' | 'request'>): boolean {
  return request.body.kind === 'write' || shape?.access === 'write';
}

/**
 * True for statements that a primary answers only after a replica received
 * them.
 */
function waitsForReplica({
  request,
  shape,
}: StatementExchange['statement']): boolean {
  return isWrite({request, shape}) || request.body.kind === 'commit';
}

/** True if a success of the statement acknowledges a commit that writes. */
function isWritingCommit(exchange: StatementExchange): boolean {
  const {statement, isInTransaction, hasWritten = false} = exchange;
  return isInTransaction
    ? statement.request.body.kind === 'commit' && hasWritten
    : isWrite(statement);
}

/**
 * Applies the settings and sends the statement, in one write. The connection is
 * closed if an answer is lost or a setting is refused, because its state is
 * then unknown.
 */
export function* exchangeStatement(
  exchange: StatementExchange,
): Task<Result<StatementAnswer, ConnectionLoss>> {
  const {timer, shared, statement, isInTransaction} = exchange;
  const {applied, connection} = shared;
  const {settings: session, shape, request} = statement;
  const setup = planDifference({applied, session, shape, isInTransaction});
  const requestedAt = timer.now();
  const sent = connection.send([...setup, request], exchange.timeout);
  // The settings are recorded without waiting, because later requests on this
  // connection run after these.
  recordApplied(applied, setup);
  const endWrite = waitsForReplica(exchange.statement)
    ? exchange.writes.start()
    : undefined;
  const reply = yield* waitFor(sent);
  const isSuccess = reply.ok && reply.val[setup.length]?.error === undefined;
  endWrite?.(reply.ok, isSuccess && isWritingCommit(exchange));
  if (reply.err) {
    connection.close();
    return reply;
  }
  exchange.onAnswers(requestedAt, reply.val);
  const isPrepared = reply.val
    .slice(0, setup.length)
    .every(({error}) => error === undefined);
  const answer = reply.val[setup.length];
  if (!isPrepared || answer === undefined) {
    connection.close();
    return Err('closed');
  }
  return Ok(answer);
}
