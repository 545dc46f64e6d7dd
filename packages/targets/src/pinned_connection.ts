/** A connection that is pinned by a transaction from its start to its end. */
import {
  type Deferred,
  type Milliseconds,
  type Runtime,
  type Task,
  createDeferred,
} from '@kelpstep/runtime';
import type {
  ConnectionLoss,
  SessionSettings,
  StatementAnswer,
  TransactionState,
} from '@kelpstep/statements';
import type {Result} from 'ts-results';

import type {SharedConnection} from './shared_connections';
import {exchangeStatement, isWrite} from './statement_exchange';
import type {PinnedConnection, StatementRequest} from './statement_request';
import type {WriteProgress} from './write_progress';

export interface PinnedConnectionOptions {
  readonly runtime: Runtime;
  readonly target: string;
  /** A connection on which the target has begun the transaction. */
  readonly shared: SharedConnection;
  readonly settings: SessionSettings;
  readonly writes: WriteProgress;
  onAnswers(
    requestedAt: Milliseconds,
    answers: readonly StatementAnswer[],
  ): void;
  release(shared: SharedConnection): void;
}

type Reply = Result<StatementAnswer, ConnectionLoss>;

/** Pins a connection to a transaction that has begun on it, until `end`. */
export function pinConnection(
  options: PinnedConnectionOptions,
): PinnedConnection {
  const {runtime, target, shared, settings, onAnswers} = options;
  let state: TransactionState = 'open';
  let hasWritten = false;

  function* exchange(
    statement: Pick<StatementRequest, 'settings' | 'shape' | 'request'>,
    timeout: Milliseconds,
    result: Deferred<Reply>,
  ): Task<void> {
    const {timer} = runtime;
    const reply = yield* exchangeStatement({
      timer,
      shared,
      statement,
      timeout,
      isInTransaction: true,
      hasWritten,
      writes: options.writes,
      onAnswers,
    });
    state = reply.ok ? reply.val.state : 'failed';
    hasWritten ||= reply.ok && !reply.val.error && isWrite(statement);
    result.settle(reply);
  }

  return {
    target,
    send(request, shape, timeout) {
      const result = createDeferred<Reply>();
      const statement = {settings, shape, request};
      runtime.spawn('pinned', exchange(statement, timeout, result));
      return result.future;
    },
    end() {
      if (state !== 'idle') {
        shared.connection.close();
      }
      options.release(shared);
    },
  };
}
