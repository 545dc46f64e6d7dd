import {expect} from 'earl';
import {describe, test} from 'node:test';

import {BEGIN, COMMIT, WRITE, startSession} from './session_on_stubs';

describe('the end of a request', () => {
  // Guards against withheld commits that a log shows as lost answers.
  test('tells that the commit of a transaction was withheld', () => {
    const {state, send} = startSession();
    send(BEGIN, WRITE);
    state.isSuperseded = true;
    const end = send(COMMIT);
    expect(end?.outcome).toEqual('inDoubt');
    expect(end?.reason).toEqual('superseded primary');
    expect(end?.isWrite).toEqual(true);
    expect(end?.target).toEqual('a');
  });

  test('tells whether it wrote', () => {
    const {send} = startSession();
    expect(send(WRITE)?.isWrite).toEqual(true);
    expect(send(BEGIN, COMMIT)?.isWrite).toEqual(false);
  });

  test('tells that the caller was gone before the answer', () => {
    const {state, send} = startSession();
    expect(send(WRITE)?.isUndelivered).toEqual(false);
    state.isClosed = true;
    const end = send(WRITE);
    expect(end?.outcome).toEqual('ok');
    expect(end?.isUndelivered).toEqual(true);
  });

  test('is reported for a write that is answered without its result', () => {
    const {state, send, unfinished, ends, timer, answers} = startSession();
    send(WRITE);
    expect(unfinished.size).toEqual(0);
    state.isStalled = true;
    send(WRITE);
    expect(ends.length).toEqual(1);
    timer.advance(30);
    unfinished.forEach(report => report());
    expect(ends[1]).toEqual({
      id: 'q',
      group: 'g',
      account: '',
      kind: 'primary write',
      outcome: 'inDoubt',
      target: '',
      attempts: 0,
      via: '',
      duration: 40,
      reason: 'cut off',
      isWrite: true,
      isUndelivered: false,
    });
    expect(answers.at(-1)?.error?.name).toEqual('inDoubt');
  });
});
