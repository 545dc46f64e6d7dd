import {
  type Milliseconds,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {
  type OpenFailure,
  type OpenTargetConnection,
  type OpenedConnection,
  createSessionSettings,
} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok, type Result} from 'ts-results';

import {createConnectionSource} from '../src/connection_source';
import type {ControlConnection} from '../src/control_connection';
import {
  type SharedConnection,
  createSharedConnections,
} from '../src/shared_connections';
import type {StatementRequest} from '../src/statement_request';

const OPENING_TIME_MS: Milliseconds = 12;
const SHARE = 6;
/** Time for which an owner that met the limit opens none beyond its share. */
const BACKOFF_MS: Milliseconds = 500;

const NO_CONTROL_CONNECTION = {
  canBorrow: () => false,
  borrow: () => undefined,
  owns: () => false,
} as unknown as ControlConnection;

/**
 * A target that accepts `limit` connections, of which other owners hold
 * `others`, and this owner's pool of connections to it.
 */
function startPool(limit: number, others: number) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const state = {others, open: 0, mostOpen: 0, mostCounted: 0};
  const attempts: string[] = [];
  const closed: string[] = [];
  const listener = {onAvailable: () => {}};

  function connect(user: string): OpenedConnection {
    const listeners: Array<() => void> = [];
    let isOpen = true;
    const connection: OpenedConnection['connection'] = {
      send: () => createDeferred<never>().future,
      isOpen: () => isOpen,
      close() {
        isOpen = false;
        state.open -= 1;
        closed.push(user);
        listeners.splice(0).forEach(notify => notify());
      },
      onClosed: notify => listeners.push(notify),
    };
    return {connection, position: undefined, firstAnswers: []};
  }

  const open: OpenTargetConnection = (unusedTarget, user = '') => {
    const result = createDeferred<Result<OpenedConnection, OpenFailure>>();
    const isAccepted = state.open + state.others < limit;
    attempts.push(isAccepted ? user : `${user} refused`);
    state.open += isAccepted ? 1 : 0;
    state.mostOpen = Math.max(state.mostOpen, state.open + state.others);
    timer.after(OPENING_TIME_MS, () =>
      result.settle(isAccepted ? Ok(connect(user)) : Err('tooManyConnections')),
    );
    return result.future;
  };

  const connections = createSharedConnections({
    timer,
    target: {target: 't', address: 'a'} as never,
    open,
    share: () => SHARE,
    onAvailable: () => listener.onAvailable(),
    onOpened: () => {},
  });
  const source = createConnectionSource({
    connections,
    controlConnection: NO_CONTROL_CONNECTION,
    onUnresponsive: () => {},
  });

  /** Acquires a connection; the result is filled in once this has ended. */
  function start(user: string) {
    const statement = {
      user,
      settings: createSessionSettings(),
      request: {body: {kind: 'read', item: 'i'}},
    } as unknown as StatementRequest;
    const started: {result?: Result<SharedConnection, OpenFailure>} = {};
    runtime.spawn(
      'statement',
      (function* () {
        started.result = yield* source.acquire(statement);
      })(),
    );
    state.mostCounted = Math.max(state.mostCounted, connections.count());
    return started;
  }

  function acquire(user: string): SharedConnection | undefined {
    const started = start(user);
    timer.advance(OPENING_TIME_MS);
    return started.result?.ok ? started.result.val : undefined;
  }

  /** Leaves one idle connection for each user, the first used least recently. */
  function leaveIdle(users: readonly string[]): void {
    const acquired = users.map(acquire);
    acquired.forEach(shared => shared && source.release(shared));
  }

  return {
    timer,
    state,
    attempts,
    closed,
    connections,
    listener,
    start,
    acquire,
    leaveIdle,
  };
}

describe('an owner below its share at a target that is at its limit', () => {
  /** Three idle connections, and one refusal because of the limit. */
  function startAtLimit() {
    const pool = startPool(10, 7);
    pool.leaveIdle(['a', 'b', 'c']);
    expect(pool.acquire('d')).toEqual(undefined);
    expect(pool.attempts.splice(0)).toEqual(['a', 'b', 'c', 'd refused']);
    return pool;
  }

  // Guards against statements of an account that stay without a connection
  // while the owner keeps idle ones of other accounts.
  test('replaces the least recently used idle connection', () => {
    const {acquire, attempts, closed, connections} = startAtLimit();
    expect(connections.isAvailable()).toEqual(true);
    expect(acquire('d')?.user).toEqual('d');
    expect({attempts, closed}).toEqual({attempts: ['d'], closed: ['a']});
  });

  // Guards against closing connections of an account that can use its own.
  test('gives an account its own idle connection first', () => {
    const {acquire, attempts, closed} = startAtLimit();
    expect(acquire('a')?.user).toEqual('a');
    expect({attempts, closed}).toEqual({attempts: [], closed: []});
  });

  // Guards against an owner that never grows to its share again.
  test('tries an additional connection once the refusal is old', () => {
    const {timer, state, acquire, attempts, closed} = startAtLimit();
    state.others -= 1;
    timer.advance(BACKOFF_MS);
    expect(acquire('d')?.user).toEqual('d');
    expect({attempts, closed}).toEqual({attempts: ['d'], closed: []});
  });

  // Guards against further refused attempts, and more connections than before,
  // when statements start while a connection is closed for another one.
  test('keeps the limit while several statements start', () => {
    const {timer, state, connections, listener, start, attempts} =
      startAtLimit();
    const countBefore = connections.count();
    state.mostCounted = 0;
    const waiting = ['e', 'f'];
    const started: ReturnType<typeof start>[] = [];
    // As the statement runner does: an available connection starts a statement.
    listener.onAvailable = () => {
      const user = waiting.shift();
      if (user !== undefined) {
        started.push(start(user));
      }
    };
    started.push(start('d'));
    timer.advance(OPENING_TIME_MS);
    const served = started.map(({result}) => result?.ok && result.val.user);
    expect(served.sort()).toEqual(['d', 'e', 'f']);
    expect([...attempts].sort()).toEqual(['d', 'e', 'f']);
    expect([state.mostOpen, state.mostCounted]).toEqual([10, countBefore]);
  });
});

describe('an owner at its share', () => {
  // Guards against an owner that exceeds its share by replacing connections.
  test('opens one connection for each that it closes', () => {
    const {timer, state, listener, connections, start, leaveIdle} = startPool(
      SHARE + 2,
      1,
    );
    // One connection beyond the share is allowed while the target accepts it.
    leaveIdle(['a', 'b', 'c', 'd', 'e', 'f', 'g']);
    state.mostCounted = 0;
    const waiting = ['i'];
    listener.onAvailable = () => {
      const user = waiting.shift();
      if (user !== undefined) {
        start(user);
      }
    };
    start('h');
    timer.advance(OPENING_TIME_MS);
    expect([state.mostCounted, connections.count()]).toEqual([7, 7]);
  });
});
