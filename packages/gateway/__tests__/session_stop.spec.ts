import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  BEGIN,
  COMMIT,
  READ,
  ROLLBACK,
  WRITE,
  startSession,
} from './session_on_stubs';

describe('a session of a stopping gateway', () => {
  // Guards against requests that were read and are never answered.
  test('answers all requests that it has read before it ends as idle', () => {
    const session = startSession();
    session.state.isStalled = true;
    session.post(READ, WRITE, BEGIN, WRITE, COMMIT);
    session.enterPhase('endingSessions');
    session.resume();
    expect(session.outcomes()).toEqual([
      'idle',
      'idle',
      'open',
      'open',
      'idle',
    ]);
    expect(session.state.isClosed).toEqual(true);
  });

  test('goes on with an open transaction while only idle sessions end', () => {
    const session = startSession();
    session.send(BEGIN, WRITE);
    session.enterPhase('endingSessions');
    session.send(WRITE, COMMIT);
    expect(session.outcomes()).toEqual(['open', 'open', 'open', 'idle']);
    expect(session.state.isClosed).toEqual(true);
  });

  // Guards against connections that are closed while a statement is in progress.
  test('rolls a transaction back between two statements, and says so', () => {
    const session = startSession();
    session.send(BEGIN, WRITE);
    session.enterPhase('endingTransactions');
    expect(session.state.endedTransactions).toEqual(1);
    expect(session.send(COMMIT)?.reason).toEqual('stopping');
    expect(session.runs).toEqual(['begin', 'write']);
    expect(session.outcomes().slice(2)).toEqual(['aborted']);
    expect(session.state.isClosed).toEqual(true);
  });

  test('ends once the caller has ended a transaction that was rolled back', () => {
    const session = startSession();
    session.send(BEGIN, WRITE);
    session.enterPhase('endingTransactions');
    session.send(WRITE, WRITE);
    expect(session.outcomes().slice(2)).toEqual(['aborted', 'malformed']);
    expect(session.state.isClosed).toEqual(false);
    session.send(ROLLBACK);
    expect(session.outcomes().slice(4)).toEqual(['idle']);
    expect(session.state.isClosed).toEqual(true);
  });

  test('lets the statement in progress end before it rolls back', () => {
    const session = startSession();
    session.send(BEGIN);
    session.state.isStalled = true;
    session.post(WRITE);
    session.enterPhase('endingTransactions');
    expect(session.state.endedTransactions).toEqual(0);
    session.resume();
    expect(session.outcomes()).toEqual(['open', 'open']);
    expect(session.state.endedTransactions).toEqual(1);
  });

  test('lets a commit in progress end', () => {
    const session = startSession();
    session.send(BEGIN, WRITE);
    session.state.isStalled = true;
    session.post(COMMIT);
    session.enterPhase('endingTransactions');
    session.resume();
    expect(session.outcomes().slice(2)).toEqual(['idle']);
    expect(session.state.isClosed).toEqual(true);
  });

  test('runs no further statement once transactions end', () => {
    const session = startSession();
    session.state.isStalled = true;
    session.post(READ, WRITE, BEGIN);
    session.enterPhase('endingTransactions');
    session.resume();
    expect(session.outcomes()).toEqual(['idle', 'busy', 'busy']);
    expect(session.runs).toEqual(['read']);
  });
});

describe('a request without a result when the process ends', () => {
  /** Outcomes when all statements that are posted last have no result yet. */
  function endProcess(
    before: Parameters<ReturnType<typeof startSession>['send']>,
    waiting: typeof before,
  ): string[] {
    const session = startSession();
    session.send(...before);
    session.state.isStalled = true;
    session.post(...waiting);
    session.enterPhase('endingTransactions');
    session.unfinished.forEach(answerNow => answerNow());
    session.state.isClosed = true;
    const runs = session.runs.length;
    session.resume();
    expect(session.runs.length).toEqual(runs);
    expect(session.ends.length >= session.answers.length).toEqual(true);
    return session.outcomes().slice(before.length);
  }

  test('is in doubt if it may have written', () => {
    expect(endProcess([], [WRITE])).toEqual(['inDoubt']);
    expect(endProcess([BEGIN, WRITE], [COMMIT])).toEqual(['inDoubt']);
  });

  test('is aborted if nothing of it can be kept', () => {
    expect(endProcess([], [READ])).toEqual(['aborted']);
    expect(endProcess([], [BEGIN])).toEqual(['aborted']);
    expect(endProcess([BEGIN, WRITE], [WRITE])).toEqual(['aborted']);
    expect(endProcess([BEGIN, READ], [COMMIT])).toEqual(['aborted']);
  });

  // Guards against a commit that runs after its caller was told it did not.
  test('is followed by refusals of those that wait behind it', () => {
    expect(endProcess([BEGIN, WRITE], [WRITE, COMMIT])).toEqual([
      'aborted',
      'busy',
    ]);
  });
});
