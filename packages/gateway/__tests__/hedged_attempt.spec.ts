import {
  type Deferred,
  type Milliseconds,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {localAnswer} from '@kelpstep/statements';
import type {PinnedStart} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {awaitHedged, createRetryBudget} from '../src/hedged_attempt';

const HEDGE_DELAY_MS: Milliseconds = 280;
const LONG_WAIT_MS: Milliseconds = 2000;

function startAttempts(sentAt: Milliseconds | undefined) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const first = createDeferred<PinnedStart>();
  const second = createDeferred<PinnedStart>();
  const startedAt: Milliseconds[] = [];
  const ended: string[] = [];
  let result: PinnedStart | undefined;

  const task = runtime.spawn(
    'attempts',
    awaitHedged({
      timer,
      first: first.future,
      sentAt: () => sentAt,
      hedgeDelay: HEDGE_DELAY_MS,
      start() {
        startedAt.push(timer.now());
        return second.future;
      },
    }),
  );
  task.result.onSettled(end => {
    result = end;
  });

  /** Ends an attempt with an answer that has the given `receipt`. */
  function answer(attempt: Deferred<PinnedStart>, receipt: string): void {
    attempt.settle({
      outcome: {
        kind: 'answered',
        answer: {...localAnswer('open'), receipt},
      },
      pinned: {
        target: receipt,
        send: () => {
          throw new Error('No statement is sent in these tests.');
        },
        end: () => void ended.push(receipt),
      },
    });
  }

  function lose(attempt: Deferred<PinnedStart>): void {
    attempt.settle({outcome: {kind: 'lost'}, pinned: undefined});
  }

  function receipt(): string | undefined {
    return result?.outcome.kind === 'answered'
      ? result.outcome.answer.receipt
      : result?.outcome.kind;
  }

  return {timer, first, second, startedAt, ended, answer, lose, receipt};
}

describe('a second attempt', () => {
  test('does not start while the first waits to be sent', () => {
    const {timer, startedAt} = startAttempts(undefined);
    timer.advance(LONG_WAIT_MS);
    expect(startedAt).toEqual([]);
  });

  test('starts once the first is unanswered for the hedge delay', () => {
    const {timer, startedAt} = startAttempts(0);
    timer.advance(LONG_WAIT_MS);
    expect(startedAt).toEqual([HEDGE_DELAY_MS]);
  });

  test('ends the wait if it succeeds, and the late first is released', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG_WAIT_MS);
    run.answer(run.second, 'second');
    expect(run.receipt()).toEqual('second');
    run.answer(run.first, 'first');
    expect(run.ended).toEqual(['first']);
  });

  test('is released if the first succeeds', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG_WAIT_MS);
    run.answer(run.first, 'first');
    run.answer(run.second, 'second');
    expect(run.receipt()).toEqual('first');
    expect(run.ended).toEqual(['second']);
  });

  test('does not end the wait if it is lost', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG_WAIT_MS);
    run.lose(run.second);
    expect(run.receipt()).toEqual(undefined);
    run.answer(run.first, 'first');
    expect(run.receipt()).toEqual('first');
  });

  test('has a lost outcome if the first is lost as well', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG_WAIT_MS);
    run.lose(run.second);
    run.lose(run.first);
    expect(run.receipt()).toEqual('lost');
  });

  test('is allowed for at most a tenth of the first attempts over time', () => {
    const budget = createRetryBudget();
    let made = 0;
    for (let attempt = 0; attempt < 1000; attempt++) {
      budget.deposit();
      made += budget.tryWithdraw() ? 1 : 0;
    }
    expect(made >= 100 && made <= 121).toEqual(true);
  });
});
