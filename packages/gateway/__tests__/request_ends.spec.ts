import {
  type Task,
  createDeferred,
  createMailbox,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {type SessionStatement, localAnswer} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Ok} from 'ts-results';

import type {CallerMessage} from '../src/caller_connection';
import type {ActiveConfiguration} from '../src/configuration';
import type {DispatchRequest, DispatchResult} from '../src/dispatch_types';
import type {RequestEnd} from '../src/gateway_events';
import {serveSession} from '../src/serve_session';

const BEGIN = {kind: 'begin', readOnly: false} as const;
const WRITE = {kind: 'write', item: 'i'} as unknown as SessionStatement;
const COMMIT = {kind: 'commit'} as const;
const ROUTE = {group: 'g', freshness: 'primary', timeout: 1000};

const PINNED = {
  target: 'a',
  send: ({body}: {body: SessionStatement}) =>
    settledFuture(Ok(localAnswer(body.kind === 'commit' ? 'idle' : 'open'))),
  end: () => {},
} as unknown as PinnedConnection;

/** A session whose statements are run at once unless `isStalled`. */
function startSession() {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const messages = createMailbox<CallerMessage>();
  const ends: RequestEnd[] = [];
  const unfinished = new Set<() => void>();
  const state = {isSuperseded: false, isClosed: false, isStalled: false};

  function* dispatch({statement}: DispatchRequest): Task<DispatchResult> {
    if (state.isStalled) {
      yield* runtimeWait();
    }
    const isBegin = statement.kind === 'begin';
    return {
      answer: localAnswer(isBegin ? 'open' : 'idle'),
      target: 'a',
      attempts: 1,
      reason: '',
      via: '',
      pinned: isBegin ? PINNED : undefined,
    };
  }

  function* runtimeWait(): Task<void> {
    const never = createDeferred<undefined>();
    yield {
      start(unusedTimer, complete) {
        never.future.onSettled(complete);
        return () => {};
      },
    };
  }

  runtime.spawn(
    'session',
    serveSession({
      runtime,
      caller: {
        database: 'd',
        keyDigest: '',
        messages,
        isClosed: () => state.isClosed,
        answer: () => {},
        close: () => {},
      },
      configuration: {
        first: settledFuture(undefined),
        current: () => undefined,
        admit: () => ({kind: 'admitted', route: ROUTE, account: undefined}),
      } as unknown as ActiveConfiguration,
      dispatcher: {dispatch},
      quota: {} as Parameters<typeof serveSession>[0]['quota'],
      events: {
        onRequestEnd: end => ends.push(end),
        onPlacement: () => {},
        onSession: () => {},
      },
      isStopping: () => false,
      isSuperseded: () => state.isSuperseded,
      unfinished,
    }),
  );

  function send(...statements: SessionStatement[]): RequestEnd | undefined {
    for (const statement of statements) {
      messages.post({kind: 'request', request: {id: 'q', statement}});
      timer.advance(10);
    }
    return ends[ends.length - 1];
  }

  return {state, send, unfinished, ends, timer};
}

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

  test('is reported for a write that is cut off with its session', () => {
    const {state, send, unfinished, ends, timer} = startSession();
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
      isUndelivered: true,
    });
  });
});
