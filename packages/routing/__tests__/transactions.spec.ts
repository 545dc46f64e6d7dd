import {
  callerBegin,
  callerCommit,
  callerOutcome,
  callerRead,
  callerRollback,
  callerWrite,
  targetCommit,
} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  DeploymentOptions,
  createDeployment,
  databaseHost,
  proxyHost,
  keyOf,
  statement,
} from './deployment';

const append = statement('append ? ?', 'log', 'entry');
const count = statement('count ?', 'log');
const key = keyOf('commit-once');

/** A deployment in which proxy 0 holds a transaction with one write. */
function startTransaction(options: DeploymentOptions = {}) {
  const deployment = createDeployment(options);
  const primary = deployment.start();
  deployment.timer.advance(500);
  const {transaction} = deployment.ask(0, callerBegin, {token: ''});
  deployment.ask(0, callerWrite, {statement: append, transaction});
  return {...deployment, primary, transaction};
}

describe('a transaction', () => {
  test('continues through another proxy and is visible after commit', () => {
    const {ask, transaction} = startTransaction();
    ask(1, callerWrite, {statement: append, transaction});
    const inside = ask(1, callerRead, {statement: count, transaction});
    const outside = ask(1, callerRead, {statement: count});
    expect([inside.rows, outside.rows]).toEqual([[[2]], [[0]]]);
    const {token} = ask(1, callerCommit, {transaction});
    const after = ask(0, callerRead, {statement: count, token});
    expect(after.rows).toEqual([[2]]);
  });

  test('has no effect after its rollback', () => {
    const {ask, refuse, proxy, transaction} = startTransaction();
    ask(1, callerRollback, {transaction});
    expect(proxy(0).service.openTransactions()).toEqual(0);
    expect(ask(0, callerRead, {statement: count}).rows).toEqual([[0]]);
    expect(refuse(0, callerCommit, {transaction})).toEqual(
      'TRANSACTION_LOST not_run',
    );
  });

  test('is isolated from other transactions', () => {
    const {ask, transaction} = startTransaction();
    const other = ask(0, callerBegin, {}).transaction;
    const otherCount = ask(0, callerRead, {
      statement: count,
      transaction: other,
    });
    const set = statement('set ? ?', 'k', 1);
    ask(0, callerWrite, {statement: set, transaction: other});
    ask(0, callerRollback, {transaction});
    ask(0, callerCommit, {transaction: other});
    expect(otherCount.rows).toEqual([[0]]);
    expect(ask(0, callerRead, {statement: count}).rows).toEqual([[0]]);
    const get = statement('get ?', 'k');
    expect(ask(0, callerRead, {statement: get}).rows).toEqual([[1]]);
  });

  test('runs one statement at a time', () => {
    const {send, settle, refuse, transaction} = startTransaction();
    const slow = statement('sleep ?', 100);
    const first = send(0, callerRead, {statement: slow, transaction});
    expect(refuse(1, callerRead, {statement: count, transaction})).toEqual(
      'TRANSACTION_BUSY not_run',
    );
    settle(() => first.length > 0);
    expect('result' in (first[0] ?? {})).toEqual(true);
  });

  test('is rolled back when it is idle or open for too long', () => {
    for (const limits of [
      {transactionIdleTime: 200},
      {transactionTotalTime: 200},
    ]) {
      const {refuse, timer, control, primary, transaction} = startTransaction({
        service: {limits},
      });
      timer.advance(300);
      expect(control(primary).statistics().transactions).toEqual(0);
      expect(refuse(0, callerCommit, {transaction})).toEqual(
        'TRANSACTION_LOST not_run',
      );
    }
  });

  test('accepts a key only with its commit', () => {
    const {refuse, transaction} = startTransaction();
    expect(
      refuse(0, callerWrite, {statement: append, transaction, key}),
    ).toEqual('INVALID_PARAMETERS not_run');
  });

  test('is definitely lost if its primary crashes', () => {
    const {ask, refuse, settle, network, primary, transaction, ...rest} =
      startTransaction();
    network.killHost(databaseHost(primary));
    settle(() => ![primary, -1].includes(rest.primaryIndex()));
    expect(refuse(1, callerRead, {statement: count, transaction})).toEqual(
      'TRANSACTION_LOST not_run',
    );
    expect(refuse(1, callerCommit, {transaction})).toEqual(
      'TRANSACTION_LOST not_run',
    );
    expect(ask(0, callerRead, {statement: count}).rows).toEqual([[0]]);
  });

  test('at a replaced primary returns nothing older than its session', () => {
    const {ask, refuse, timer, network, primary, transaction} =
      startTransaction({proxies: 3});
    const replicas = [0, 1, 2].filter(index => index !== primary);
    const otherSide = [1, 2].map(proxyHost).concat(replicas.map(databaseHost));
    network.partitionGroups([proxyHost(0), databaseHost(primary)], otherSide);
    timer.advance(3000);
    const {token} = ask(1, callerWrite, {statement: append});
    expect(
      refuse(0, callerRead, {statement: count, transaction, token}),
    ).toEqual('TRANSACTION_LOST not_run');
  });

  test('is definitely lost if its proxy crashes', () => {
    const {ask, refuse, killProxy, timer, transaction} = startTransaction();
    killProxy(0);
    timer.advance(10);
    expect(refuse(1, callerRead, {statement: count, transaction})).toEqual(
      'TRANSACTION_LOST not_run',
    );
    expect(refuse(1, callerCommit, {transaction})).toEqual(
      'TRANSACTION_LOST not_run',
    );
    expect(ask(1, callerRead, {statement: count}).rows).toEqual([[0]]);
  });
});

describe('a commit', () => {
  test('that is repeated returns the recorded answer', () => {
    const {ask, primary, entries, transaction} = startTransaction();
    const first = ask(0, callerCommit, {transaction});
    const second = ask(1, callerCommit, {transaction});
    expect([first.duplicate, second.duplicate]).toEqual([false, true]);
    expect(entries(primary, 'log')).toEqual(['entry']);
  });

  test('with a key has its outcome recorded under that key', () => {
    const {ask, transaction} = startTransaction();
    ask(0, callerCommit, {transaction, key});
    expect(ask(1, callerOutcome, {key}).outcome).toEqual('confirmed');
  });

  test('whose answer is lost is confirmed by its key', () => {
    const {ask, network, primary, entries, transaction} = startTransaction();
    network.loseAnswers(({method}) => method === targetCommit.name);
    ask(1, callerCommit, {transaction});
    expect(entries(primary, 'log')).toEqual(['entry']);
  });

  test('that does not arrive in time is never applied', () => {
    const {refuse, timer, network, primary, entries, transaction} =
      startTransaction();
    network.delayMessages(
      ({method, isAnswer}) => method === targetCommit.name && !isAnswer,
      3000,
    );
    expect(refuse(0, callerCommit, {transaction})).toEqual(
      'TRANSACTION_LOST not_run',
    );
    timer.advance(5000);
    expect(entries(primary, 'log')).toEqual([]);
  });

  test('of a proxy that crashes at any time is resolved by another proxy', () => {
    const seen = new Set<string>();
    for (let moment = 0; moment < 16; moment++) {
      const {send, call, timer, killProxy, primary, entries, ...rest} =
        startTransaction();
      const {network, transaction} = rest;
      if (moment % 4 === 0) {
        network.loseMessages(({method}) => method === targetCommit.name);
      }
      send(0, callerCommit, {transaction});
      timer.advance(moment / 4);
      killProxy(0);
      const outcome = call(1, callerCommit, {transaction});
      const reported =
        'result' in outcome ? 'confirmed' : outcome.failure.outcome;
      const isApplied = entries(primary, 'log').length === 1;
      expect(reported).toEqual(isApplied ? 'confirmed' : 'not_run');
      seen.add(reported);
    }
    expect(seen.size).toEqual(2);
  });

  test('reports what was applied whenever its primary crashes', () => {
    for (let moment = 0; moment < 16; moment++) {
      const {send, settle, timer, network, primary, transaction, ...rest} =
        startTransaction();
      const outcomes = send(1, callerCommit, {transaction});
      timer.advance(moment / 4);
      network.killHost(databaseHost(primary));
      settle(
        () =>
          outcomes.length > 0 && ![primary, -1].includes(rest.primaryIndex()),
      );
      const [outcome] = outcomes;
      const reported =
        outcome && 'failure' in outcome ? outcome.failure.outcome : 'confirmed';
      const isApplied = rest.entries(rest.primaryIndex(), 'log').length === 1;
      expect(reported).toEqual(isApplied ? 'confirmed' : 'not_run');
    }
  });
});

describe('draining', () => {
  test('refuses only new requests and waits for transactions', () => {
    const {ask, refuse, proxy, timer, transaction} = startTransaction();
    const drained: number[] = [];
    const {service} = proxy(0);
    service.drain(5000).onSettled(() => drained.push(timer.now()));
    expect(refuse(0, callerRead, {statement: count})).toEqual(
      'STOPPING not_run',
    );
    ask(1, callerWrite, {statement: append, transaction});
    expect(drained).toEqual([]);
    ask(0, callerCommit, {transaction});
    expect(drained).toEqual([timer.now()]);
  });

  test('interrupts no statement and finally rolls back transactions', () => {
    const {send, proxy, timer, control, primary, transaction} =
      startTransaction();
    const {service} = proxy(0);
    let isDrained = false;
    const slow = statement('sleep ?', 500);
    const running = send(0, callerRead, {statement: slow, transaction});
    service.drain(100).onSettled(() => {
      isDrained = true;
    });
    timer.advance(300);
    expect([isDrained, running.length]).toEqual([false, 0]);
    timer.advance(400);
    expect('result' in (running[0] ?? {})).toEqual(true);
    expect(isDrained).toEqual(true);
    expect(control(primary).statistics().transactions).toEqual(0);
  });

  test('completes at once if nothing is in flight', () => {
    const deployment = createDeployment();
    deployment.start();
    const drained = deployment.proxy(0).service.drain(1000);
    expect(drained.isSettled()).toEqual(true);
  });
});
