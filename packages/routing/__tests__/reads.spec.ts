import {
  ResultOf,
  callerRead,
  callerWrite,
  targetExecute,
} from '@kelpstep/protocol';
import {VIRTUAL_EPOCH_MS} from '@kelpstep/runtime';
import {EMPTY_SESSION, encodeToken, withPosition} from '@kelpstep/session';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {readFromPrimary} from '..';
import {
  DeploymentOptions,
  GROUP,
  createDeployment,
  databaseHost,
  proxyHost,
  statement,
} from './deployment';

const append = statement('append ? ?', 'log', 'entry');
const count = statement('count ?', 'log');

type Written = ResultOf<typeof callerWrite>;
type Read = ResultOf<typeof callerRead>;

/** A deployment whose group has a primary and open update streams. */
function startDeployment(options: DeploymentOptions = {}) {
  const deployment = createDeployment(options);
  const primary = deployment.start();
  deployment.timer.advance(500);
  const replicas = [0, 1, 2].filter(index => index !== primary);
  return {...deployment, primary, replicas};
}

describe('a read', () => {
  test('of a session sees its own writes through any proxy', () => {
    const {ask, control, replicas} = startDeployment({proxies: 3});
    control(replicas[0] ?? 0).configure({lag: 60});
    let token = '';
    for (let round = 1; round <= 20; round++) {
      const request = {statement: append, token};
      const written: Written = ask(round % 3, callerWrite, request);
      const readingProxy = (round + 1) % 3;
      const read: Read = ask(readingProxy, callerRead, {
        statement: count,
        token: written.token,
      });
      expect(read.rows).toEqual([[round]]);
      token = read.token;
    }
  });

  test('without a token sees everything that was confirmed before', () => {
    const {ask, control, replicas} = startDeployment({proxies: 3});
    control(replicas[1] ?? 0).configure({lag: 60});
    for (let round = 1; round <= 12; round++) {
      ask(0, callerWrite, {statement: append});
      const read = ask(round % 3, callerRead, {statement: count});
      expect(read.rows).toEqual([[round]]);
    }
  });

  test('of a new session is served by replicas within its maximum age', () => {
    const {ask, timer} = startDeployment({settings: {lag: 30}});
    for (let round = 0; round < 50; round++) {
      ask(0, callerWrite, {statement: append});
      const read = ask(1, callerRead, {
        statement: count,
        token: '',
        maximumAge: 500,
      });
      expect(read.servedBy.role).toEqual('replica');
      expect(read.age <= 500).toEqual(true);
      timer.advance(7);
    }
  });

  test('meets a maximum age below the replication lag', () => {
    const {ask} = startDeployment({settings: {lag: 300}});
    for (let round = 1; round <= 5; round++) {
      ask(0, callerWrite, {statement: append});
      const read = ask(1, callerRead, {
        statement: count,
        token: '',
        maximumAge: 50,
      });
      expect(read.age <= 50).toEqual(true);
    }
  });

  test('is retried if its answer is older than its maximum age', () => {
    const {ask, network, timer} = startDeployment();
    network.delayMessages(
      ({method, isAnswer}) => method === targetExecute.name && isAnswer,
      250,
      1,
    );
    const startedAt = timer.now();
    const read = ask(0, callerRead, {
      statement: count,
      token: '',
      maximumAge: 200,
    });
    expect(timer.now() - startedAt >= 250).toEqual(true);
    expect(read.age <= 200).toEqual(true);
  });

  test('is refused if no answer can meet its maximum age', () => {
    const {refuse} = startDeployment();
    expect(
      refuse(0, callerRead, {statement: count, token: '', maximumAge: 0}),
    ).toEqual('NO_FRESH_TARGET not_run');
  });

  test('of a session still sees its writes after a failover', () => {
    const {ask, network, primary} = startDeployment({settings: {lag: 20}});
    const {token} = ask(0, callerWrite, {statement: append});
    network.killHost(databaseHost(primary));
    const read = ask(1, callerRead, {statement: count, token});
    expect(read.rows).toEqual([[1]]);
  });

  test('waits for a position that no target has until its deadline', () => {
    const {call, timer} = startDeployment();
    const forged = withPosition(EMPTY_SESSION, GROUP, {
      term: 999_999_999,
      position: 999_999_999,
    });
    const startedAt = timer.now();
    const deadline = Math.floor(VIRTUAL_EPOCH_MS + startedAt + 300);
    const outcome = call(0, callerRead, {
      statement: count,
      token: encodeToken(forged),
      deadline,
    });
    expect('failure' in outcome && outcome.failure.name).toEqual(
      'NO_FRESH_TARGET',
    );
    expect(Math.abs(outcome.at - startedAt - 300) < 25).toEqual(true);
  });

  test('is retried if its target crashes or its connection stalls', () => {
    for (const fault of ['silence', 'kill'] as const) {
      const {ask, network, replicas, ends} = startDeployment();
      ask(0, callerRead, {statement: count, token: ''});
      for (const index of replicas) {
        if (fault === 'silence') {
          network.blackholeConnections(proxyHost(0), databaseHost(index));
        } else {
          network.killHost(databaseHost(index));
        }
      }
      const read = ask(0, callerRead, {statement: count, token: ''});
      expect(read.rows).toEqual([[0]]);
      expect((ends.at(-1)?.duration ?? Infinity) < 700).toEqual(true);
    }
  });

  test('never gets the answer of another request if answers are late', () => {
    const {send, network, timer} = startDeployment();
    network.delayMessages(
      ({method, isAnswer}) => method === targetExecute.name && isAnswer,
      400,
      2,
    );
    const values = [1, 2, 3, 4, 5, 6];
    const outcomes = values.map(value =>
      send(0, callerWrite, {
        statement: statement('set ? ?', `k${value}`, value),
      }),
    );
    timer.advance(3000);
    expect(outcomes.every(list => 'result' in (list[0] ?? {}))).toEqual(true);
    const reads = values.map(value =>
      send(1, callerRead, {statement: statement('get ?', `k${value}`)}),
    );
    timer.advance(3000);
    const rows = reads.map(list => {
      const outcome = list[0];
      return outcome && 'result' in outcome
        ? outcome.result.rows[0]?.[0]
        : null;
    });
    expect(rows).toEqual(values);
  });

  test('avoids a leaving target, as does a write after the grace period', () => {
    const {ask, refuse, control, timer, setMonitored, ...rest} =
      startDeployment();
    const {manifest, primary, setManifest} = rest;
    ask(0, callerWrite, {statement: append});
    setMonitored(false);
    const [group] = manifest.groups;
    const members = (group?.members ?? []).map((member, index) => ({
      ...member,
      state: index === primary ? ('leaving' as const) : member.state,
    }));
    setManifest({
      ...manifest,
      groups: [{...manifest.groups[0], members}],
    } as typeof manifest);
    ask(0, callerWrite, {statement: append});
    timer.advance(2000);
    const executions = control(primary).statistics().executions;
    expect(refuse(0, callerWrite, {statement: append})).toEqual(
      'NO_PRIMARY not_run',
    );
    for (let round = 0; round < 10; round++) {
      ask(0, callerRead, {statement: count});
    }
    expect(control(primary).statistics().executions).toEqual(executions);
  });

  test('follows the read policy in the options', () => {
    const {ask} = startDeployment({
      service: {policies: {read: readFromPrimary}},
    });
    const read = ask(0, callerRead, {statement: count, token: ''});
    expect(read.servedBy.role).toEqual('primary');
  });
});

describe('the validation of requests', () => {
  test('refuses invalid requests without running them', () => {
    const {refuse} = startDeployment();
    const read = {statement: count};
    expect([
      refuse(0, callerRead, {...read, kind: 'unheard-of'}),
      refuse(0, callerRead, {...read, token: 'nonsense'}),
      refuse(0, callerRead, {...read, deadline: VIRTUAL_EPOCH_MS}),
      refuse(0, callerRead, {...read, transaction: 'tx1:a:b'}),
      refuse(0, callerRead, {...read, group: 'other'} as typeof read),
    ]).toEqual([
      'UNKNOWN_KIND not_run',
      'BAD_TOKEN not_run',
      'DEADLINE_PASSED not_run',
      'TRANSACTION_UNKNOWN not_run',
      'UNKNOWN_GROUP not_run',
    ]);
  });

  test('refuses unknown names temporarily if the manifest may be outdated', () => {
    let isCurrent = false;
    const isManifestCurrent = () => isCurrent;
    const {refuse} = startDeployment({service: {isManifestCurrent}});
    const requests = [
      {statement: count, kind: 'unheard-of'},
      {statement: count, group: 'other'} as {statement: typeof count},
    ];
    const refuseAll = () =>
      requests.map(request => refuse(0, callerRead, request));
    expect(refuseAll()).toEqual(['NOT_READY not_run', 'NOT_READY not_run']);
    isCurrent = true;
    expect(refuseAll()).toEqual([
      'UNKNOWN_KIND not_run',
      'UNKNOWN_GROUP not_run',
    ]);
  });

  test('refuses all requests before there is a manifest', () => {
    const {refuse} = startDeployment({service: {manifest: () => undefined}});
    expect(refuse(0, callerRead, {statement: count})).toEqual(
      'NOT_READY not_run',
    );
  });
});

describe('under overload', () => {
  test('requests are answered in time or refused without being run', () => {
    const {send, timer, primary, entries} = startDeployment({
      settings: {serviceTime: 10, slots: 1},
    });
    const startedAt = timer.now();
    const deadline = Math.floor(VIRTUAL_EPOCH_MS + startedAt + 600);
    const sent = Array.from({length: 400}, (unusedItem, index) => {
      timer.advance(1);
      return send(0, callerWrite, {
        statement: append,
        deadline: deadline + index,
      });
    });
    timer.advance(2000);
    const outcomes = sent.map(list => list[0]);
    const served = outcomes.filter(outcome => outcome && 'result' in outcome);
    const failures = outcomes.flatMap(outcome =>
      outcome && 'failure' in outcome ? [outcome.failure] : [],
    );
    const names = new Set(failures.map(({name}) => name));
    expect(served.length + failures.length).toEqual(400);
    expect([...names]).toEqual(['OVERLOADED']);
    expect(failures.every(({retryAfter}) => (retryAfter ?? 0) > 0)).toEqual(
      true,
    );
    expect(entries(primary, 'log').length).toEqual(served.length);
    expect(served.length >= 70).toEqual(true);
  });
});
