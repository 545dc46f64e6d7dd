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

const PATIENCE: Milliseconds = 280;
const LONG: Milliseconds = 2000;

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
      hedgeDelay: PATIENCE,
      start() {
        startedAt.push(timer.now());
        return second.future;
      },
    }),
  );
  task.result.onSettled(end => {
    result = end;
  });

  /** Ends an attempt with an answer whose receipt names it. */
  function answer(attempt: Deferred<PinnedStart>, receipt: string): void {
    attempt.settle({
      outcome: {
        kind: 'answered',
        answer: {...localAnswer('open'), receipt},
      },
      pinned: {
        target: receipt,
        send: () => {
          throw new Error('Nothing is sent here.');
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
  test('is not made while the first waits to be sent', () => {
    const {timer, startedAt} = startAttempts(undefined);
    timer.advance(LONG);
    expect(startedAt).toEqual([]);
  });

  test('starts once the first is silent for too long', () => {
    const {timer, startedAt} = startAttempts(0);
    timer.advance(LONG);
    expect(startedAt).toEqual([PATIENCE]);
  });

  test('ends the wait, and the first one is given up when it comes', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG);
    run.answer(run.second, 'second');
    expect(run.receipt()).toEqual('second');
    run.answer(run.first, 'first');
    expect(run.ended).toEqual(['first']);
  });

  test('is given up if the first answers', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG);
    run.answer(run.first, 'first');
    run.answer(run.second, 'second');
    expect(run.receipt()).toEqual('first');
    expect(run.ended).toEqual(['second']);
  });

  test('that is lost leaves the first one to be waited for', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG);
    run.lose(run.second);
    expect(run.receipt()).toEqual(undefined);
    run.answer(run.first, 'first');
    expect(run.receipt()).toEqual('first');
  });

  test('that is lost too ends as lost', () => {
    const run = startAttempts(0);
    run.timer.advance(LONG);
    run.lose(run.second);
    run.lose(run.first);
    expect(run.receipt()).toEqual('lost');
  });

  test('is made for a tenth of the first ones at most, over time', () => {
    const budget = createRetryBudget();
    let made = 0;
    for (let attempt = 0; attempt < 1000; attempt++) {
      budget.deposit();
      made += budget.tryWithdraw() ? 1 : 0;
    }
    expect(made >= 100 && made <= 121).toEqual(true);
  });
});
