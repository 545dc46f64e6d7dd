/** Questions of the proxy's own to one target, on a connection of their own. */
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
  type TargetOrder,
  noteApplied,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {QuestionConnection} from './question_connection';

/** Answer to a question of the proxy's own. */
export type OrderReply = Result<
  StatementAnswer,
  ConnectionLoss | OpenFailure | 'behind a statement' | 'too late'
>;

/** What questions are made of. */
export interface TargetQuestionsOptions {
  readonly runtime: Runtime;
  readonly connection: QuestionConnection;
  onAnswers(askedAt: Milliseconds, answers: readonly StatementAnswer[]): void;
  onRoundTrip(duration: Milliseconds): void;
  /** The target gave no answer, on a fresh connection either. */
  onSilence(reason: string): void;
}

/** Asks one target. */
export interface TargetQuestions {
  /** Not sent after `sendUntil`, a monotonic time; `Infinity` by default. */
  ask(
    order: TargetOrder,
    timeout: Milliseconds,
    sendUntil?: Milliseconds,
  ): Future<OrderReply>;
}

/** Creates questions to a target. */
export function createTargetQuestions(
  options: TargetQuestionsOptions,
): TargetQuestions {
  const {runtime} = options;
  const {timer} = runtime;

  function* askOnce(
    question: TargetOrder,
    timeout: Milliseconds,
    sendUntil: Milliseconds,
  ): Task<OrderReply> {
    const opened = yield* waitFor(options.connection.get());
    if (opened.err) {
      if (opened.val !== 'tooManyConnections') {
        options.onSilence(opened.val);
      }
      return opened;
    }
    if (timer.now() > sendUntil) {
      return Err('too late');
    }
    const {connection, applied} = opened.val;
    const request = {body: question};
    const askedAt = timer.now();
    const sent = connection.send([request], timeout);
    noteApplied(applied, [request]);
    const reply = yield* waitFor(sent);
    if (reply.err) {
      return loseAnswer(connection, reply.val);
    }
    options.onRoundTrip(timer.now() - askedAt);
    options.onAnswers(askedAt, reply.val);
    return Ok(reply.val[0] as StatementAnswer);
  }

  /** Behind a statement an answer may take longer: that tells nothing. */
  function loseAnswer(
    connection: TargetConnection,
    loss: ConnectionLoss,
  ): OrderReply {
    if (loss === 'timed out' && options.connection.isLent()) {
      return Err('behind a statement');
    }
    connection.close();
    return Err(loss);
  }

  /** A dead connection is told from a dead target by a fresh one. */
  function* askTwice(
    question: TargetOrder,
    timeout: Milliseconds,
    sendUntil: Milliseconds,
    result: Deferred<OrderReply>,
  ): Task<void> {
    const first = yield* askOnce(question, timeout, sendUntil);
    const isLoss =
      first.err && (first.val === 'closed' || first.val === 'timed out');
    if (!isLoss) {
      result.settle(first);
      return;
    }
    const second = yield* askOnce(question, timeout, sendUntil);
    const isSilent =
      second.err &&
      second.val !== 'behind a statement' &&
      second.val !== 'too late';
    if (isSilent) {
      options.onSilence(second.val);
    }
    result.settle(second);
  }

  return {
    ask(order, timeout, sendUntil = Infinity) {
      const result = createDeferred<OrderReply>();
      runtime.spawn('question', askTwice(order, timeout, sendUntil, result));
      return result.future;
    },
  };
}
