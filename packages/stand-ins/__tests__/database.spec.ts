import {
  targetBegin,
  targetCommit,
  targetExecute,
  targetRollback,
  targetSettleKey,
  targetStatus,
} from '@kelpstep/protocol';
import type {RpcPeer} from '@kelpstep/rpc';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {DatabaseSettings, DatabaseConfiguration, standInConfigure} from '..';
import {createGroup, createKey, statement} from './group';

const TERM = 1;
const HOUR_MS = 60 * 60 * 1000;
const GET = statement('get ?', 'x');

/** Creates a group of one primary, with shorthand functions for its calls. */
function createPrimary(settings: Partial<DatabaseSettings> = {}) {
  const group = createGroup(1, settings);
  group.promote(1, TERM);
  const {call, connect, send} = group;

  function read(peer: RpcPeer, query = GET, transaction?: string) {
    const outcome = call(peer, targetExecute, {
      statement: query,
      mode: 'read',
      transaction,
    });
    return typeof outcome === 'string' ? outcome : outcome.rows;
  }

  function begin(peer: RpcPeer): string {
    const outcome = call(peer, targetBegin, {term: TERM});
    return typeof outcome === 'string' ? outcome : outcome.transaction;
  }

  function append(
    peer: RpcPeer,
    text: string,
    key?: ReturnType<typeof createKey>,
  ) {
    const appendStatement = statement('append ? ?', 'log', text);
    return group.write(peer, TERM, appendStatement, key);
  }

  function setIn(peer: RpcPeer, transaction: string, value: number) {
    return call(peer, targetExecute, {
      statement: statement('set ? ?', 'x', value),
      mode: 'write',
      transaction,
    });
  }

  /** Sends a statement that occupies a slot; doesn't wait for its answer. */
  function sendSleep(peer: RpcPeer, duration: number) {
    return send(peer, targetExecute, {
      statement: statement('sleep ?', duration),
      mode: 'read',
    });
  }

  function configure(change: DatabaseConfiguration) {
    return call(connect(1), standInConfigure, change);
  }

  return {...group, read, begin, append, setIn, sendSleep, configure};
}

describe('database statements', () => {
  test('operate on values, numbers and lists', () => {
    const {connect, write, read} = createPrimary();
    const peer = connect(1);
    write(peer, TERM, statement('set ? ?', 'x', 'text'));
    write(peer, TERM, statement('add ? ?', 'n', 2));
    write(peer, TERM, statement('add ? ?', 'n', 3));
    write(peer, TERM, statement('append ? ?', 'l', 'a'));
    expect(read(peer)).toEqual([['text']]);
    expect(read(peer, statement('get ?', 'n'))).toEqual([[5]]);
    expect(read(peer, statement('get ?', 'none'))).toEqual([]);
    expect(read(peer, statement('list ?', 'l'))).toEqual([['a']]);
    expect(read(peer, statement('count ?', 'l'))).toEqual([[1]]);
  });

  test('fail without effect if they are invalid', () => {
    const {connect, write, read, control} = createPrimary();
    const peer = connect(1);
    write(peer, TERM, statement('set ? ?', 'x', 'text'));
    const {end} = control(1).status();
    for (const faulty of [
      statement('drop ?', 'x'),
      statement('set ? ?', 'x'),
      statement('add ? ?', 'x', 1),
      statement('add ? ?', 'n', 'one'),
    ]) {
      expect(write(peer, TERM, faulty)).toEqual('STATEMENT_FAILED');
    }
    expect(read(peer, statement('set ? ?', 'x', 1))).toEqual(
      'STATEMENT_FAILED',
    );
    expect(control(1).status().end).toEqual(end);
  });
});

describe('idempotency keys', () => {
  test('run a statement once and repeat the recorded answer', () => {
    const {connect, append, read} = createPrimary();
    const [first, second] = [connect(1), connect(1)];
    const answer = {rows: [[1]], at: {term: TERM, position: 2}};
    expect(append(first, 'a', createKey('k'))).toEqual({
      ...answer,
      duplicate: false,
    });
    expect(append(second, 'a', createKey('k'))).toEqual({
      ...answer,
      duplicate: true,
    });
    expect(read(first, statement('count ?', 'log'))).toEqual([[1]]);
  });

  test('stay effective after a lost answer and a change of primary', () => {
    const {call, connect, promote, write, catchUp, send, control, timer} =
      createGroup(2);
    promote(1, 1);
    call(connect(1), standInConfigure, {
      loseAnswers: {method: 'target.execute', count: 1},
    });
    const appendStatement = statement('append ? ?', 'log', 'a');
    const lost = send(connect(1), targetExecute, {
      statement: appendStatement,
      mode: 'write',
      term: 1,
      key: createKey('k'),
    });
    timer.advance(100);
    catchUp(2, 1);
    expect(lost.outcome).toEqual(undefined);
    promote(2, 2);
    expect(write(connect(2), 2, appendStatement, createKey('k'))).toEqual({
      rows: [[1]],
      at: {term: 1, position: 2},
      duplicate: true,
    });
    expect(control(2).inspect(statement('count ?', 'log'))).toEqual([[1]]);
  });

  test('are refused if mismatched, expired or issued in the future', () => {
    const {connect, append} = createPrimary({keyRetention: HOUR_MS});
    const peer = connect(1);
    append(peer, 'a', createKey('k'));
    expect(append(peer, 'b', createKey('k'))).toEqual('KEY_MISMATCH');
    expect(append(peer, 'a', createKey('old', 2 * HOUR_MS))).toEqual(
      'KEY_EXPIRED',
    );
    expect(append(peer, 'a', createKey('new', -HOUR_MS))).toEqual(
      'KEY_FROM_FUTURE',
    );
  });

  test('are settled as recorded or cancelled permanently', () => {
    const {call, connect, append, control} = createPrimary();
    const peer = connect(1);
    append(peer, 'a', createKey('run'));
    expect(
      call(peer, targetSettleKey, {term: TERM, key: createKey('run')}),
    ).toEqual({
      state: 'recorded',
      execution: {
        rows: [[1]],
        at: {term: TERM, position: 2},
        duplicate: true,
      },
    });
    const cancelled = {
      state: 'cancelled' as const,
      at: {term: TERM, position: 3},
    };
    const late = {term: TERM, key: createKey('late')};
    expect(call(peer, targetSettleKey, late)).toEqual(cancelled);
    expect(call(peer, targetSettleKey, late)).toEqual(cancelled);
    expect(append(peer, 'b', createKey('late'))).toEqual('KEY_CANCELLED');
    expect(control(1).inspect(statement('count ?', 'log'))).toEqual([[1]]);
  });
});

describe('transactions', () => {
  test('see their own writes and publish them at the commit', () => {
    const {call, connect, begin, setIn, read} = createPrimary();
    const [own, other] = [connect(1), connect(1)];
    const transaction = begin(own);
    setIn(own, transaction, 1);
    expect(read(own, GET, transaction)).toEqual([[1]]);
    expect(read(other)).toEqual([]);
    expect(call(own, targetCommit, {transaction})).toEqual({
      rows: [],
      at: {term: TERM, position: 2},
      duplicate: false,
    });
    expect(read(other)).toEqual([[1]]);
  });

  test('commit once per key, also from another connection', () => {
    const {call, connect, begin, setIn, control} = createPrimary();
    const own = connect(1);
    const transaction = begin(own);
    setIn(own, transaction, 1);
    const commit = {transaction, key: createKey('k')};
    call(own, targetCommit, commit);
    expect(call(connect(1), targetCommit, commit)).toEqual({
      rows: [],
      at: {term: TERM, position: 2},
      duplicate: true,
    });
    expect(control(1).status().end.position).toEqual(2);
  });

  test('fail to commit after a conflicting write', () => {
    const {call, connect, begin, setIn, read, write} = createPrimary();
    const [own, other] = [connect(1), connect(1)];
    const transaction = begin(own);
    setIn(own, transaction, 1);
    write(other, TERM, statement('set ? ?', 'x', 2));
    expect(call(own, targetCommit, {transaction})).toEqual('TRANSACTION_LOST');
    expect(read(other)).toEqual([[2]]);
  });

  test('end with their connection, a rollback or a fence', () => {
    const group = createPrimary();
    const {call, connect, begin, setIn, control, promote, settle} = group;
    const [first, second, third] = [connect(1), connect(1), connect(1)];
    [first, second, third].forEach(peer => setIn(peer, begin(peer), 1));
    const transaction = control(1).statistics().transactions;
    expect(transaction).toEqual(3);
    first.close('gone');
    settle(() => control(1).statistics().busySlots === 2);
    const rolledBack = begin(first);
    expect(rolledBack).toEqual('OUTCOME_UNKNOWN');
    const again = connect(1);
    const id = begin(again);
    expect(call(again, targetRollback, {transaction: id})).toEqual({});
    expect(call(again, targetCommit, {transaction: id})).toEqual(
      'TRANSACTION_UNKNOWN',
    );
    const lost = begin(again);
    promote(1, 2);
    expect(control(1).statistics().busySlots).toEqual(0);
    expect(call(again, targetCommit, {transaction: lost})).toEqual(
      'TRANSACTION_LOST',
    );
    expect(control(1).inspect(GET)).toEqual([]);
  });

  test('are bound to their connection', () => {
    const {connect, begin, setIn} = createPrimary();
    const transaction = begin(connect(1));
    expect(setIn(connect(1), transaction, 1)).toEqual('TRANSACTION_UNKNOWN');
  });
});

describe('slots and connections', () => {
  test('run at most one statement per slot, in order', () => {
    const {connect, sendSleep, timer, settle} = createPrimary({slots: 2});
    const start = timer.now();
    const ends: number[] = [];
    const pending = [1, 2, 3, 4].map(() => sendSleep(connect(1), 100));
    for (const request of pending) {
      settle(() => request.outcome !== undefined);
      ends.push(Math.floor((timer.now() - start) / 100));
    }
    expect(ends).toEqual([1, 1, 2, 2]);
  });

  test('refuse statements over the queue limit, but no status requests', () => {
    const {connect, sendSleep, read, call, control, settle} = createPrimary({
      slots: 1,
      queueLimit: 1,
    });
    const [first, second, third] = [connect(1), connect(1), connect(1)];
    sendSleep(first, 1000);
    sendSleep(second, 1000);
    settle(() => control(1).statistics().waiting === 1);
    expect(read(third)).toEqual('SLOTS_EXHAUSTED');
    const status = call(third, targetStatus, {});
    expect(typeof status !== 'string' && status.term).toEqual(TERM);
  });

  test('remove a waiting statement when its connection closes', () => {
    const {connect, sendSleep, control, settle} = createPrimary({slots: 1});
    const [first, second] = [connect(1), connect(1)];
    sendSleep(first, 1000);
    sendSleep(second, 1000);
    settle(() => control(1).statistics().waiting === 1);
    second.close('gone');
    settle(() => control(1).statistics().waiting === 0);
    settle(() => control(1).statistics().busySlots === 0);
  });

  test('run the statements of one connection one after another', () => {
    const {connect, sendSleep, timer, settle} = createPrimary();
    const peer = connect(1);
    const start = timer.now();
    sendSleep(peer, 100);
    const last = sendSleep(peer, 100);
    settle(() => last.outcome !== undefined);
    expect(timer.now() - start).toBeGreaterThan(200);
  });

  test('refuse requests on connections over the limit, then close them', () => {
    const {connect, read, settle, control} = createPrimary({
      connectionLimit: 3,
    });
    settle(() => control(1).statistics().connections === 2);
    const [within, beyond] = [connect(1), connect(1)];
    expect(read(within)).toEqual([]);
    expect(read(beyond)).toEqual('CONNECTIONS_EXHAUSTED');
    settle(() => beyond.closed.isSettled());
    expect(within.closed.isSettled()).toEqual(false);
  });

  test('wait for the connection set-up time before the first answer', () => {
    const {connect, read, timer} = createPrimary({connectionSetup: 12});
    const peer = connect(1);
    const start = timer.now();
    read(peer);
    expect(timer.now() - start).toBeGreaterThan(12);
  });

  test('can be reconfigured while the database runs', () => {
    const {configure, connect, read, timer} = createPrimary();
    const peer = connect(1);
    configure({serviceTime: 40, slots: 1});
    const start = timer.now();
    read(peer);
    expect(timer.now() - start).toBeGreaterThan(40);
    configure({refuseStatements: true});
    expect(read(peer)).toEqual('SLOTS_EXHAUSTED');
    configure({refuseStatements: false, freeze: 500});
    const frozenAt = timer.now();
    read(peer);
    expect(timer.now() - frozenAt).toBeGreaterThan(490);
  });
});
