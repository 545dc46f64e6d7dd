import type {Milliseconds} from '@kelpstep/runtime';
import type {ConnectionWait} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {DispatchRequest} from '../src/dispatch_types';
import {type AwaitedLink, createStartWaits} from '../src/start_wait';

function requestOf(
  kind: 'begin' | 'read' | 'write',
  account?: string,
): DispatchRequest {
  return {
    account,
    route: {database: 'records'},
    statement: {kind},
    isWrite: kind === 'write',
  } as DispatchRequest;
}

const READ = requestOf('read', 'account');

interface LinkState {
  readonly wait?: ConnectionWait;
  readonly isReached?: boolean;
  readonly isLeaving?: boolean;
  /** True if the target refuses connections, but for the proxy's own. */
  readonly isStarved?: boolean;
}

function linkOf(target: string, state: LinkState): AwaitedLink {
  const {wait = {untilRelease: 0, isPinned: false}} = state;
  return {
    target,
    registration: () =>
      ({isLeaving: state.isLeaving ?? false}) as ReturnType<
        AwaitedLink['registration']
      >,
    connectionWait: () => wait,
    isReached: () => state.isReached ?? true,
    isStarved: user => user !== undefined && (state.isStarved ?? false),
  };
}

/** A target all of whose connections transactions hold. */
function pinned(target: string, untilRelease: Milliseconds, state = {}) {
  return linkOf(target, {...state, wait: {untilRelease, isPinned: true}});
}

describe('a statement whose targets have all connections pinned', () => {
  // Guards against statements that are held until their timeout because idle
  // transactions keep the connections.
  test('is expected to start at the first release', () => {
    const {expected} = createStartWaits();
    const links = [pinned('a', 300), pinned('b', 120), pinned('c', 700)];
    expect(expected(links, READ)).toEqual(120);
  });

  // Guards against sending a statement away that a target here can start.
  test('starts at once if one target has a connection', () => {
    const {expected} = createStartWaits();
    expect(expected([pinned('a', 300), linkOf('b', {})], READ)).toEqual(0);
  });

  // Guards against an order of the queue that is decided twice, here and by the
  // queue.
  test('does not count connections that single statements use', () => {
    const {expected} = createStartWaits();
    const used = {untilRelease: 90, isPinned: false};
    expect(expected([linkOf('a', {wait: used})], READ)).toEqual(0);
  });

  // Guards against predictions from targets that will not run the statement.
  test('is not expected at targets that take no new statement', () => {
    const {expected} = createStartWaits();
    const others = [
      pinned('lost', 10, {isReached: false}),
      pinned('leaving', 10, {isLeaving: true}),
      pinned('starved', 10, {isStarved: true}),
    ];
    expect(expected([pinned('a', 300), ...others], READ)).toEqual(300);
    const own = requestOf('read');
    expect(expected([pinned('a', 300), ...others], own)).toEqual(10);
    expect(expected(others, READ)).toEqual(0);
  });

  // Guards against a prediction for single statements, which may borrow the
  // control connection, that is used for transactions, which may not.
  test('is described to the target by user, kind and whether it begins', () => {
    const needs: unknown[] = [];
    const link: AwaitedLink = {
      ...linkOf('a', {}),
      connectionWait(need) {
        needs.push(need);
        return {untilRelease: 0, isPinned: false};
      },
    };
    const requests = [READ, requestOf('begin'), requestOf('write', 'account')];
    const {expected} = createStartWaits();
    requests.forEach(request => expected([link], request));
    expect(needs).toEqual([
      {user: 'account', kind: 'records read', isBegin: false},
      {user: undefined, kind: 'records begin', isBegin: true},
      {user: 'account', kind: 'records write', isBegin: false},
    ]);
  });
});

describe('transactions that wait for a connection', () => {
  // Guards against a burst of transactions that all count on one release.
  test('come before a statement that arrives later', () => {
    const {addWaitingBegin, expected} = createStartWaits();
    const links = [pinned('a', 100)];
    const ends = [addWaitingBegin('a'), addWaitingBegin('a')];
    expect(expected(links, READ)).toEqual(300);
    ends[0]?.();
    expect(expected(links, READ)).toEqual(200);
    ends[1]?.();
    expect(expected(links, READ)).toEqual(100);
  });

  // Guards against waits that are counted at every target of a group.
  test('count at their target only', () => {
    const {addWaitingBegin, expected} = createStartWaits();
    addWaitingBegin('a');
    const links = [pinned('a', 100), pinned('b', 150)];
    expect(expected(links, READ)).toEqual(150);
  });

  // Guards against a wait where a connection is free already.
  test('do not delay a statement whose target has a connection', () => {
    const {addWaitingBegin, expected} = createStartWaits();
    addWaitingBegin('a');
    expect(expected([linkOf('a', {})], READ)).toEqual(0);
  });
});
