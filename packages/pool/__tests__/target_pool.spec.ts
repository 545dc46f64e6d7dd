import {targetExecute} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  FIRST_COME_FIRST_SERVED,
  Lease,
  borrowingShare,
  controlReserve,
  createUnlimitedConcurrency,
  equalShare,
} from '..';
import {PROXY, TARGET, TEST_POLICIES, createFakeTarget} from './fake_target';

describe('connections to a target', () => {
  test('are opened in advance and then serve without delay', () => {
    const {pool, timer, send, outcomes} = createFakeTarget();
    pool.keepWarm(3);
    timer.advance(10);
    expect(pool.load().connections).toEqual(3);
    send(5);
    timer.advance(20);
    expect(outcomes[0]?.at).toEqual(16);
  });

  test('carry one statement at a time', () => {
    const {timer, send, counts, outcomeNames} = createFakeTarget();
    [5, 5, 5].forEach(duration => send(duration));
    timer.advance(4);
    expect([counts.connections, counts.running]).toEqual([3, 3]);
    timer.advance(20);
    expect(outcomeNames()).toEqual(['ok', 'ok', 'ok']);
  });

  test('are closed and not reused after a time-out', () => {
    const {pool, network, timer, send, outcomeNames, counts} =
      createFakeTarget();
    pool.keepWarm(1);
    timer.advance(5);
    network.loseAnswers(({method}) => method === targetExecute.name);
    send(1, 20);
    timer.advance(30);
    expect(outcomeNames()).toEqual(['OUTCOME_UNKNOWN']);
    expect(counts.connections).toEqual(0);
    send(1, 20);
    timer.advance(30);
    expect(outcomeNames()).toEqual(['OUTCOME_UNKNOWN', 'ok']);
  });

  test('that are unresponsive are detected before requests use them', () => {
    const {pool, network, timer, send, outcomeNames} = createFakeTarget();
    pool.keepWarm(3);
    timer.advance(5);
    network.blackholeConnections(PROXY, TARGET);
    send(1, 50);
    timer.advance(60);
    send(1, 500);
    send(1, 500);
    timer.advance(20);
    expect(outcomeNames()).toEqual(['OUTCOME_UNKNOWN', 'ok', 'ok']);
  });

  test('refused at the limit lower the share and are retried', () => {
    const {pool, timer, send, outcomeNames, setOtherConnections} =
      createFakeTarget({connectionLimit: 8, otherConnections: 7});
    [5, 5, 5].forEach(duration => send(duration));
    timer.advance(40);
    expect(pool.load().connectionShare).toEqual(1);
    expect(outcomeNames()).toEqual(['ok', 'ok', 'ok']);
    setOtherConnections(0);
    timer.advance(10_000);
    expect(pool.load().connectionShare).toEqual(2);
  });

  test('refused from the start are retried until the deadline', () => {
    const {timer, send, outcomeNames, setOtherConnections} = createFakeTarget({
      connectionLimit: 8,
      otherConnections: 8,
    });
    send(1, 500);
    timer.advance(100);
    setOtherConnections(0);
    timer.advance(400);
    expect(outcomeNames()).toEqual(['ok']);
  });

  test('to an unreachable target fail queued requests at once and unsent', () => {
    const {network, timer, send, outcomes} = createFakeTarget();
    network.killHost(TARGET);
    send(1);
    timer.advance(5);
    send(1);
    expect(outcomes.map(({name, sent}) => [name, sent])).toEqual([
      ['TIMED_OUT', false],
      ['TIMED_OUT', false],
    ]);
  });

  test('beyond the equal share are closed once idle', () => {
    const {pool, timer, send, counts} = createFakeTarget({
      slots: 8,
      policies: {...TEST_POLICIES, connectionShare: borrowingShare},
      connectionLimit: 20,
      liveProxies: 5,
    });
    [5, 5, 5, 5].forEach(duration => send(duration));
    timer.advance(4);
    expect(counts.connections).toEqual(4);
    timer.advance(400);
    pool.tick();
    timer.advance(5);
    expect(counts.connections).toEqual(2);
  });

  test('are shared so that all proxies stay within the limit', () => {
    for (const connectionLimit of [1, 8, 20, 55]) {
      for (const liveProxies of [1, 3, 7, 8]) {
        const input = {connectionLimit, liveProxies};
        const total = equalShare(input) * liveProxies + controlReserve(input);
        const isMinimum = equalShare(input) === 1;
        expect(isMinimum || total <= connectionLimit).toEqual(true);
      }
    }
    expect(equalShare({connectionLimit: 20, liveProxies: 8})).toEqual(1);
    expect(equalShare({connectionLimit: 55, liveProxies: 8})).toEqual(5);
  });
});

describe('a lease', () => {
  function acquireLease() {
    const target = createFakeTarget();
    const leases: Lease[] = [];
    target.pool
      .lease(target.requestOf(1, 100, 1))
      .onSettled(({lease}) => lease && leases.push(lease));
    target.timer.advance(10);
    return {...target, lease: leases[0] as Lease};
  }

  test('has exclusive use of its connection', () => {
    const {lease, timer, send, counts, pool} = acquireLease();
    send(1);
    timer.advance(10);
    expect(counts.connections).toEqual(2);
    lease.release();
    expect(pool.load().inFlight).toEqual(0);
    expect(counts.connections).toEqual(2);
  });

  test('closes its connection if a request on it got no answer', () => {
    const {lease, timer, network, requestOf, counts} = acquireLease();
    const {method, parameters} = requestOf(1, 10, 1);
    network.loseAnswers(() => true);
    lease.request(method, parameters, 10);
    timer.advance(20);
    lease.release();
    timer.advance(5);
    expect(counts.connections).toEqual(0);
  });
});

describe('admission', () => {
  test('adapts to the free slots of the target', () => {
    const {pool, timer, send, counts, outcomeNames} = createFakeTarget({
      slots: 2,
      connectionLimit: 60,
    });
    for (let round = 0; round < 40; round++) {
      send(5, 2000);
    }
    timer.advance(300);
    expect(counts.peak).toEqual(2);
    expect(new Set(outcomeNames())).toEqual(new Set(['ok']));
    expect(pool.load().concurrencyLimit < 4).toEqual(true);
  });

  test('refuses requests that cannot meet their deadline at once and unsent', () => {
    const {timer, send, outcomes, counts} = createFakeTarget({slots: 1});
    send(10);
    timer.advance(20);
    for (let index = 0; index < 20; index++) {
      send(10, 50);
    }
    const refused = outcomes.filter(({name}) => name === 'OVERLOADED');
    expect(refused.length >= 14).toEqual(true);
    expect(refused.every(({at, sent}) => at === 20 && !sent)).toEqual(true);
    const times = new Set(refused.map(({retryAfter}) => retryAfter));
    expect(times.size > 5).toEqual(true);
    timer.advance(100);
    const served = outcomes.filter(({name}) => name === 'ok');
    const unsent = outcomes.filter(({sent}) => !sent);
    expect(counts.executed).toEqual(served.length);
    expect(served.length + unsent.length).toEqual(21);
    expect(served.length >= 5).toEqual(true);
  });

  test('refuses at once a request that more valuable ones delay too long', () => {
    const {timer, send, outcomes} = createFakeTarget({slots: 1});
    send(10);
    timer.advance(20);
    send(10, 1000);
    send(10, 40, 1, 'cheap');
    for (let index = 0; index < 4; index++) {
      send(10, 1000, 50, 'valuable');
    }
    expect(outcomes.slice(1).map(({name, at}) => [name, at])).toEqual([
      ['OVERLOADED', 20],
    ]);
    timer.advance(200);
    expect(outcomes.filter(({name}) => name === 'valuable').length).toEqual(4);
  });

  test('serves the highest value per slot time first', () => {
    const {timer, send, outcomeNames} = createFakeTarget({slots: 1});
    [2, 20].forEach(duration => {
      send(duration);
      timer.advance(50);
    });
    send(2);
    send(20, 1000, 5, 'long');
    send(2, 1000, 2, 'short');
    timer.advance(100);
    expect(outcomeNames().slice(3)).toEqual(['short', 'long']);
  });

  test('bounds the queue', () => {
    const {pool, send, outcomeNames} = createFakeTarget({queueCapacity: 5});
    for (let index = 0; index < 20; index++) {
      send(1, 60_000);
    }
    expect(pool.load().queued).toEqual(5);
    expect(outcomeNames().length).toEqual(15);
  });

  test('works with naive policies', () => {
    const {timer, send, outcomeNames} = createFakeTarget({
      slots: 1,
      policies: {
        ...TEST_POLICIES,
        queue: FIRST_COME_FIRST_SERVED,
        createConcurrencyLimit: createUnlimitedConcurrency,
      },
    });
    send(10, 1000, 1, 'first');
    send(10, 1000, 99, 'second');
    timer.advance(100);
    expect(outcomeNames()).toEqual(['first', 'second']);
  });
});
