import type {SessionStatement} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type SessionTransition,
  answerInFailedTransaction,
  failTransaction,
} from '../src/transaction_failure';

const READ: SessionStatement = {kind: 'read', item: 'i'};
const COMMIT: SessionStatement = {kind: 'commit'};
const ROLLBACK: SessionStatement = {kind: 'rollback'};

function told({state, answer}: SessionTransition): [string, string] {
  return [state, answer.error?.name ?? 'ok'];
}

describe('a transaction whose statement failed', () => {
  test('is rolled back, and stays failed until its end', () => {
    const failed = failTransaction(READ, 'answer lost', true);
    expect(told(failed)).toEqual(['failed', 'aborted']);
    expect(told(answerInFailedTransaction(READ))).toEqual([
      'failed',
      'malformed',
    ]);
    expect(told(answerInFailedTransaction(COMMIT))).toEqual([
      'idle',
      'aborted',
    ]);
    expect(told(answerInFailedTransaction(ROLLBACK))).toEqual(['idle', 'ok']);
  });

  test('is in doubt if its commit wrote and gave no answer', () => {
    const ends = (['answer lost', 'failed', 'timedOut'] as const).map(reason =>
      told(failTransaction(COMMIT, reason, true)),
    );
    expect(ends).toEqual(ends.map(() => ['idle', 'inDoubt']));
  });

  test('is aborted if its commit has certainly not run, or wrote nothing', () => {
    const ends = [
      failTransaction(COMMIT, 'readOnly', true),
      failTransaction(COMMIT, 'busy', true),
      failTransaction(COMMIT, 'answer lost', false),
    ].map(told);
    expect(ends).toEqual(ends.map(() => ['idle', 'aborted']));
  });

  test('has ended as asked if its rollback got no answer', () => {
    const end = failTransaction(ROLLBACK, 'answer lost', true);
    expect(told(end)).toEqual(['idle', 'ok']);
  });
});
