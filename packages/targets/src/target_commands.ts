/** Runs commands of the proxy on one target, over the control connection. */
import {
  type Deferred,
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  createDeferred,
  waitFor,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type OpenFailure,
  type StatementAnswer,
  type TargetConnection,
  type TargetCommand,
  recordApplied,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {ControlConnection} from './control_connection';

/**
 * Answer to a command. 'behind a statement': the command timed out while a
 * statement ran on the connection. 'too late': it was not sent by `sendUntil`.
 */
export type CommandReply = Result<
  StatementAnswer,
  ConnectionLoss | OpenFailure | 'behind a statement' | 'too late'
>;

/** What the commands need from the link to the target. */
export interface TargetCommandsOptions {
  readonly runtime: Runtime;
  readonly connection: ControlConnection;
  onAnswers(
    requestedAt: Milliseconds,
    answers: readonly StatementAnswer[],
  ): void;
  onRoundTrip(duration: Milliseconds): void;
  /**
   * Called when no connection could be opened, except at the connection limit,
   * or when a new connection gave no answer either.
   */
  onUnresponsive(reason: string): void;
}

/** Runs commands on one target, over its control connection. */
export interface TargetCommands {
  /**
   * Runs a command. It is not sent after `sendUntil`, a monotonic time that is
   * `Infinity` by default.
   */
  execute(
    command: TargetCommand,
    timeout: Milliseconds,
    sendUntil?: Milliseconds,
  ): Future<CommandReply>;
}

/** Creates the commands of a target, which are sent over `connection`. */
export function createTargetCommands(
  options: TargetCommandsOptions,
): TargetCommands {
  const {runtime} = options;
  const {timer} = runtime;

  function* sendOnce(
    command: TargetCommand,
    timeout: Milliseconds,
    sendUntil: Milliseconds,
  ): Task<CommandReply> {
    const opened = yield* waitFor(options.connection.get());
    if (opened.err) {
      if (opened.val !== 'tooManyConnections') {
        options.onUnresponsive(opened.val);
      }
      return opened;
    }
    if (timer.now() > sendUntil) {
      return Err('too late');
    }
    const {connection, applied} = opened.val;
    const request = {body: command};
    const requestedAt = timer.now();
    const sent = connection.send([request], timeout);
    recordApplied(applied, [request]);
    const reply = yield* waitFor(sent);
    if (reply.err) {
      return handleLoss(connection, reply.val);
    }
    options.onRoundTrip(timer.now() - requestedAt);
    options.onAnswers(requestedAt, reply.val);
    return Ok(reply.val[0] as StatementAnswer);
  }

  /**
   * Closes the connection after a loss, unless a command timed out behind a
   * running statement, which does not show a broken connection.
   */
  function handleLoss(
    connection: TargetConnection,
    loss: ConnectionLoss,
  ): CommandReply {
    if (loss === 'timed out' && options.connection.isBorrowed()) {
      return Err('behind a statement');
    }
    connection.close();
    return Err(loss);
  }

  /**
   * Sends a command; after a loss sends it once more on a new connection,
   * because the loss may concern the connection only.
   */
  function* sendWithRetry(
    command: TargetCommand,
    timeout: Milliseconds,
    sendUntil: Milliseconds,
    result: Deferred<CommandReply>,
  ): Task<void> {
    const first = yield* sendOnce(command, timeout, sendUntil);
    const isLoss =
      first.err && (first.val === 'closed' || first.val === 'timed out');
    if (!isLoss) {
      result.settle(first);
      return;
    }
    const second = yield* sendOnce(command, timeout, sendUntil);
    const isUnresponsive =
      second.err &&
      second.val !== 'behind a statement' &&
      second.val !== 'too late';
    if (isUnresponsive) {
      options.onUnresponsive(second.val);
    }
    result.settle(second);
  }

  return {
    execute(command, timeout, sendUntil = Infinity) {
      const result = createDeferred<CommandReply>();
      runtime.spawn(
        'question',
        sendWithRetry(command, timeout, sendUntil, result),
      );
      return result.future;
    },
  };
}
