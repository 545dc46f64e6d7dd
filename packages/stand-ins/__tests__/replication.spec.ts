import {
  targetFence,
  targetFollow,
  targetPauseWrites,
  targetPromote,
  targetReconfigure,
  targetStatus,
  targetStatusSchema,
  targetSubscribePositions,
  type Configuration,
  type TargetStatus,
} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  PROXY,
  addressOfMember,
  createGroup,
  hostOfMember,
  createKey,
  statement,
} from './group';

const LIST = statement('list ?', 'log');

function entry(text: string) {
  return statement('append ? ?', 'log', text);
}

function configurationOf(id: string): Configuration {
  return {version: 1, members: [{id, address: `${id}:1`}]};
}

describe('a group of databases', () => {
  test('starts empty in term 0', () => {
    const {call, connect} = createGroup(1);
    const status = call(connect(1), targetStatus, {});
    expect<unknown>(status).toEqual({
      target: 'member-1',
      incarnation: expect.a(String),
      role: 'replica',
      term: 0,
      end: {term: 0, position: 0},
      history: [],
      primarySilence: expect.a(Number),
      catchingUp: true,
      slots: 3,
      connectionLimit: 20,
    });
  });

  test('is catching up until it has the records of its primary', () => {
    const {promote, connect, write, call, control, settle, timer} = createGroup(
      2,
      {lag: 50},
    );
    promote(1, 5, [1]);
    const peer = connect(1);
    write(peer, 5, entry('a'));
    write(peer, 5, entry('b'));
    call(connect(2), targetFollow, {term: 5, primary: addressOfMember(1)});
    timer.advance(20);
    expect(control(2).status().catchingUp).toEqual(true);
    settle(() => control(2).status().end.position === 3);
    expect(control(2).status().catchingUp).toEqual(false);
    write(peer, 5, entry('c'));
    expect(control(2).status().catchingUp).toEqual(false);
  });

  test('replicates records, keys and term history', () => {
    const {promote, connect, write, catchUp, control} = createGroup(3);
    promote(1, 5);
    const peer = connect(1);
    write(peer, 5, entry('a'), createKey('k'));
    write(peer, 5, entry('b'));
    catchUp(2, 1);
    catchUp(3, 1);
    expect(control(2).inspect(LIST)).toEqual([['a'], ['b']]);
    expect(control(3).records()).toEqual(control(1).records());
    expect(control(3).status().history).toEqual([{term: 5, firstPosition: 1}]);
  });

  test('delays records on a lagging replica', () => {
    const {promote, connect, write, catchUp, control, timer} = createGroup(2);
    promote(1, 1);
    catchUp(2, 1);
    control(2).configure({lag: 500});
    const start = timer.now();
    write(connect(1), 1, entry('a'));
    timer.advance(400);
    expect(control(2).inspect(LIST)).toEqual([]);
    catchUp(2, 1);
    expect(timer.now() - start).toBeGreaterThanOrEqual(500);
    expect(timer.now() - start).toBeLessThan(520);
  });

  test('discards unapplied records of a lagging replica at a fence', () => {
    const {promote, connect, write, call, catchUp, control, timer} =
      createGroup(2);
    promote(1, 1);
    catchUp(2, 1);
    control(2).configure({lag: 500});
    write(connect(1), 1, entry('a'));
    timer.advance(100);
    const peer = connect(2);
    call(peer, targetFence, {term: 2});
    expect(call(peer, targetPromote, {term: 2})).toEqual({
      at: {term: 2, position: 2},
    });
    timer.advance(1000);
    expect(control(2).inspect(LIST)).toEqual([]);
  });

  test('reverts unreplicated records of a former primary', () => {
    const {promote, connect, write, catchUp, control, network, timer, call} =
      createGroup(3);
    promote(1, 1);
    write(connect(1), 1, entry('kept'));
    catchUp(2, 1);
    catchUp(3, 1);
    network.partitionGroups(
      [hostOfMember(1)],
      [hostOfMember(2), hostOfMember(3)],
    );
    write(connect(1), 1, entry('lost'), createKey('lost'));
    write(connect(1), 1, entry('lost too'));
    promote(2, 2, [3]);
    write(connect(2), 2, entry('new'));
    network.healAll();
    call(connect(1), targetFollow, {term: 2, primary: addressOfMember(2)});
    catchUp(1, 2);
    timer.advance(500);
    expect(control(1).inspect(LIST)).toEqual([['kept'], ['new']]);
    expect(control(1).records()).toEqual(control(2).records());
    expect(control(1).status().history).toEqual([
      {term: 1, firstPosition: 1},
      {term: 2, firstPosition: 3},
    ]);
    promote(1, 3);
    expect(write(connect(1), 3, entry('again'), createKey('lost'))).toEqual({
      rows: [[3]],
      at: {term: 3, position: 6},
      duplicate: false,
    });
  });

  test('refuses lower terms after a fence', () => {
    const {promote, connect, write, call, catchUp, control} = createGroup(2);
    promote(1, 4);
    catchUp(2, 1);
    const [primary, replica] = [connect(1), connect(2)];
    expect(call(replica, targetFence, {term: 4})).toEqual('TERM_TOO_LOW');
    call(primary, targetFence, {term: 6});
    expect(control(1).status().role).toEqual('replica');
    expect(write(primary, 4, entry('a'))).toEqual('TERM_TOO_LOW');
    expect(write(primary, 6, entry('a'))).toEqual('NOT_PRIMARY');
    expect(call(primary, targetPromote, {term: 4})).toEqual('TERM_TOO_LOW');
    expect(call(primary, targetFollow, {term: 5, primary: 'x:1'})).toEqual(
      'TERM_TOO_LOW',
    );
    expect(call(replica, targetPromote, {term: 9})).toEqual('NOT_FENCED');
    expect(call(primary, targetPromote, {term: 6})).toEqual({
      at: {term: 6, position: 2},
    });
    expect(call(primary, targetPromote, {term: 6})).toEqual({
      at: {term: 6, position: 2},
    });
  });

  test('stops replication from a primary with a term below the fence', () => {
    const {promote, connect, write, call, catchUp, control, timer} =
      createGroup(2);
    promote(1, 1);
    catchUp(2, 1);
    call(connect(2), targetFence, {term: 2});
    write(connect(1), 1, entry('a'));
    timer.advance(2000);
    expect(control(2).status().end).toEqual({term: 1, position: 1});
  });

  test('accepts a configuration only if it replaces the current one', () => {
    const {connect, call, catchUp, control} = createGroup(2);
    const first = configurationOf('a');
    const second = configurationOf('b');
    const third = configurationOf('c');
    const [primary, replica] = [connect(1), connect(2)];
    call(primary, targetFence, {term: 1});
    call(primary, targetPromote, {term: 1, configuration: first});
    const replaces = {term: 1, position: 1};
    const change = {term: 1, replaces, configuration: second};
    expect(call(replica, targetReconfigure, change)).toEqual('NOT_PRIMARY');
    const lower = {...change, term: 0};
    expect(call(primary, targetReconfigure, lower)).toEqual('TERM_TOO_LOW');
    expect(call(primary, targetReconfigure, change)).toEqual({
      at: {term: 1, position: 2},
    });
    const late = {...change, configuration: third};
    expect(call(primary, targetReconfigure, late)).toEqual(
      'CONFIGURATION_CHANGED',
    );
    call(replica, targetFollow, {term: 1, primary: addressOfMember(1)});
    catchUp(2, 1);
    // The barrier of a later term keeps the configuration in the log.
    call(replica, targetFence, {term: 2});
    call(replica, targetPromote, {term: 2, configuration: third});
    const held = {...second, at: {term: 1, position: 2}};
    expect(control(1).status().configuration).toEqual(held);
    expect(control(2).status().configuration).toEqual(held);
    const paused = {term: 2, durationMilliseconds: 100};
    call(replica, targetPauseWrites, paused);
    const next = {term: 2, replaces: held.at, configuration: third};
    expect(call(replica, targetReconfigure, next)).toEqual('WRITES_PAUSED');
  });

  test('pauses writes for a switch-over and resumes them', () => {
    const {promote, connect, write, call, timer} = createGroup(1);
    promote(1, 1);
    const peer = connect(1);
    expect(
      call(peer, targetPauseWrites, {term: 1, durationMilliseconds: 100}),
    ).toEqual({end: {term: 1, position: 1}});
    expect(write(peer, 1, entry('a'))).toEqual('WRITES_PAUSED');
    timer.advance(100);
    expect(write(peer, 1, entry('a'))).toEqual({
      rows: [[1]],
      at: {term: 1, position: 2},
      duplicate: false,
    });
  });

  test('resumes replication after its connection became unresponsive', () => {
    const {promote, connect, write, catchUp, network, timer} = createGroup(2);
    promote(1, 1);
    catchUp(2, 1);
    network.blackholeConnections(hostOfMember(1), hostOfMember(2));
    write(connect(1), 1, entry('a'));
    timer.advance(100);
    catchUp(2, 1);
  });

  test('streams positions initially, on changes and as heartbeats', () => {
    const {promote, connect, write, call, timer, network} = createGroup(1);
    promote(1, 1);
    const peer = connect(1);
    const seen: TargetStatus[] = [];
    peer.onNotification('target.positions', parameters =>
      seen.push(targetStatusSchema.parse(parameters)),
    );
    call(peer, targetSubscribePositions, {heartbeatMilliseconds: 100});
    write(connect(1), 1, entry('a'));
    timer.advance(5);
    expect(seen.map(status => status.end.position)).toEqual([1, 2]);
    timer.advance(1000);
    expect(seen.length).toEqual(12);
    network.freezeHost(hostOfMember(1));
    timer.advance(1000);
    expect(seen.length).toEqual(12);
  });

  test('produces the same trace for the same seed, including faults', () => {
    function run(seed: number): string[] {
      const {promote, connect, write, network, timer, trace} = createGroup(
        3,
        {serviceTime: 2, serviceJitter: 0.5},
        seed,
      );
      promote(1, 1);
      write(connect(1), 1, entry('a'));
      network.partition(hostOfMember(1), hostOfMember(2));
      network.blackholeConnections(PROXY, hostOfMember(1));
      write(connect(1), 1, entry('b'));
      timer.advance(2000);
      network.healAll();
      timer.advance(2000);
      return trace;
    }
    expect(run(7)).toEqual(run(7));
    expect(run(7)).not.toEqual(run(8));
  });
});
