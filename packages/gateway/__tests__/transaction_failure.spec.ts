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

function summarize({state, answer}: SessionTransition): [string, string] {
  return [state, answer.error?.name ?? 'ok'];
}

describe('a transaction whose statement failed', () => {
  test('is rolled back and stays failed until it is ended', () => {
    const failed = failTransaction(READ, 'answer lost', true);
    expect(summarize(failed)).toEqual(['failed', 'aborted']);
    expect(summarize(answerInFailedTransaction(READ))).toEqual([
      'failed',
      'malformed',
    ]);
    expect(summarize(answerInFailedTransaction(COMMIT))).toEqual([
      'idle',
      'aborted',
    ]);
    expect(summarize(answerInFailedTransaction(ROLLBACK))).toEqual([
      'idle',
      'ok',
    ]);
  });

  test('is in doubt if a commit of writes may have taken effect', () => {
    const ends = (['answer lost', 'failed', 'timedOut'] as const).map(reason =>
      summarize(failTransaction(COMMIT, reason, true)),
    );
    expect(ends).toEqual(ends.map(() => ['idle', 'inDoubt']));
  });

  test('is aborted if its commit has certainly not run or wrote nothing', () => {
    const ends = [
      failTransaction(COMMIT, 'readOnly', true),
      failTransaction(COMMIT, 'busy', true),
      failTransaction(COMMIT, 'answer lost', false),
    ].map(summarize);
    expect(ends).toEqual(ends.map(() => ['idle', 'aborted']));
  });

  test('ends without an error if its rollback is not answered', () => {
    const end = failTransaction(ROLLBACK, 'answer lost', true);
    expect(summarize(end)).toEqual(['idle', 'ok']);
  });
});
