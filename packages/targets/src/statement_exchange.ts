/** One statement on a shared connection, with the settings that it needs. */
import {
  type Milliseconds,
  type Task,
  type TimerService,
  waitFor,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type StatementAnswer,
  noteApplied,
  planDifference,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {SharedConnection} from './shared_connections';
import type {StatementWork} from './statement_work';
import type {WriteProgress} from './write_progress';

/** What an exchange is told. */
export interface StatementExchange {
  readonly timer: TimerService;
  readonly shared: SharedConnection;
  readonly work: Pick<StatementWork, 'settings' | 'shape' | 'request'>;
  readonly timeout: Milliseconds;
  readonly isInTransaction: boolean;
  readonly writes: WriteProgress;
  onAnswers(askedAt: Milliseconds, answers: readonly StatementAnswer[]): void;
}

/** True for what a primary answers only once a replica has received it. */
function waitsForReceiver({
  request,
  shape,
}: StatementExchange['work']): boolean {
  const {kind} = request.body;
  const isWrite = kind === 'write' || shape?.access === 'write';
  return isWrite || kind === 'commit';
}

/**
 * Applies the settings and sends, in one write. After a loss or a refused
 * setting the connection's state is unknown: it is closed.
 */
export function* exchangeStatement(
  exchange: StatementExchange,
): Task<Result<StatementAnswer, ConnectionLoss>> {
  const {timer, shared, work, isInTransaction} = exchange;
  const {applied, connection} = shared;
  const {settings: session, shape, request} = work;
  const before = planDifference({applied, session, shape, isInTransaction});
  const askedAt = timer.now();
  const sent = connection.send([...before, request], exchange.timeout);
  // Noted at once: what follows on this connection comes after it.
  noteApplied(applied, before);
  const conclude = waitsForReceiver(exchange.work)
    ? exchange.writes.start()
    : undefined;
  const reply = yield* waitFor(sent);
  conclude?.(reply.ok);
  if (reply.err) {
    connection.close();
    return reply;
  }
  exchange.onAnswers(askedAt, reply.val);
  const isPrepared = reply.val
    .slice(0, before.length)
    .every(({error}) => error === undefined);
  const answer = reply.val[before.length];
  if (!isPrepared || answer === undefined) {
    connection.close();
    return Err('closed');
  }
  return Ok(answer);
}
