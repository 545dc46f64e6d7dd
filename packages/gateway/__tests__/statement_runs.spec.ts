import {
  type StatementErrorName,
  errorAnswer,
  localAnswer,
} from '@kelpstep/statements';
import type {StatementOutcome} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {mayHaveRun} from '../src/statement_runs';

function isRun(outcome: StatementOutcome | undefined, isSent = true): boolean {
  return mayHaveRun({isSent, outcome});
}

function answered(name: StatementErrorName): StatementOutcome {
  return {kind: 'answered', answer: errorAnswer(name, 'idle')};
}

describe('an attempt', () => {
  test('may have run if it succeeded, failed, or its answer is missing', () => {
    const success = {kind: 'answered', answer: localAnswer('idle')} as const;
    const outcomes = [success, answered('failed'), answered('timedOut')];
    expect(outcomes.every(outcome => isRun(outcome))).toEqual(true);
    expect(isRun({kind: 'lost'})).toEqual(true);
    // The first of two hedged attempts, unanswered when the second succeeds.
    expect(isRun(undefined)).toEqual(true);
  });

  test('has not run if the target refused it or it was not sent', () => {
    const refusals = ['busy', 'lagging', 'readOnly', 'misrouted'] as const;
    const others = ['tooManyConnections', 'notPrepared'] as const;
    for (const name of [...refusals, ...others]) {
      expect(isRun(answered(name))).toEqual(false);
    }
    expect(isRun({kind: 'unreached', failure: 'refused'})).toEqual(false);
    expect(isRun({kind: 'refused', retryAfter: 10})).toEqual(false);
    expect(isRun(undefined, false)).toEqual(false);
  });
});
