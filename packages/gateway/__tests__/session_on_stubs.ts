/** Test helper: a session on a dispatcher that answers without targets. */
import {
  type Deferred,
  type Task,
  createDeferred,
  createMailbox,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
  waitFor,
} from '@kelpstep/runtime';
import {
  type SessionStatement,
  type StatementAnswer,
  localAnswer,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';
import {Ok} from 'ts-results';

import type {CallerMessage} from '../src/caller_connection';
import type {ActiveConfiguration} from '../src/configuration';
import type {DispatchRequest, DispatchResult} from '../src/dispatch_types';
import type {RequestEnd} from '../src/gateway_events';
import {serveSession} from '../src/serve_session';
import type {StopPhase} from '../src/session_stop';

export const BEGIN = {kind: 'begin', readOnly: false} as const;
export const READ: SessionStatement = {kind: 'read', item: 'i'};
export const WRITE: SessionStatement = {kind: 'write', item: 'i', data: 'd'};
export const COMMIT = {kind: 'commit'} as const;
export const ROLLBACK = {kind: 'rollback'} as const;

const ROUTE = {group: 'g', freshness: 'primary', timeout: 1000};

/**
 * Starts a session. Its statements are run at once unless `isStalled`; stalled
 * ones are run by `resume`.
 */
export function startSession() {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const messages = createMailbox<CallerMessage>();
  const ends: RequestEnd[] = [];
  const answers: StatementAnswer[] = [];
  const runs: SessionStatement['kind'][] = [];
  const unfinished = new Set<() => void>();
  const stalled: Array<Deferred<undefined>> = [];
  const state = {
    isSuperseded: false,
    isClosed: false,
    isStalled: false,
    stopPhase: 'serving' as StopPhase,
    /** Number of transactions whose connection was given back. */
    endedTransactions: 0,
  };

  function stall() {
    const deferred = createDeferred<undefined>();
    stalled.push(deferred);
    return deferred.future;
  }

  const pinned: PinnedConnection = {
    target: 'a',
    send({body}) {
      runs.push(body.kind as SessionStatement['kind']);
      const next = body.kind === 'commit' ? 'idle' : 'open';
      const reply = createDeferred<Ok<StatementAnswer>>();
      const isReady = state.isStalled ? stall() : settledFuture(undefined);
      isReady.onSettled(() => reply.settle(Ok(localAnswer(next))));
      return reply.future;
    },
    end() {
      state.endedTransactions += 1;
    },
  };

  function* dispatch({statement}: DispatchRequest): Task<DispatchResult> {
    runs.push(statement.kind);
    if (state.isStalled) {
      yield* waitFor(stall());
    }
    const isBegin = statement.kind === 'begin';
    return {
      answer: localAnswer(isBegin ? 'open' : 'idle'),
      target: 'a',
      attempts: 1,
      reason: '',
      via: '',
      pinned: isBegin ? pinned : undefined,
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
        answer(answer) {
          if (!state.isClosed) {
            answers.push(answer);
          }
        },
        close() {
          state.isClosed = true;
          messages.post({kind: 'closed'});
        },
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
      stopPhase: () => state.stopPhase,
      isSuperseded: () => state.isSuperseded,
      unfinished,
    }),
  );

  /** Posts requests at once, as if they had been read together. */
  function post(...statements: SessionStatement[]): void {
    for (const statement of statements) {
      messages.post({kind: 'request', request: {id: 'q', statement}});
    }
    timer.advance(10);
  }

  /** Sends requests one after another; returns the end of the last one. */
  function send(...statements: SessionStatement[]): RequestEnd | undefined {
    statements.forEach(statement => post(statement));
    return ends[ends.length - 1];
  }

  return {
    state,
    post,
    send,
    answers,
    runs,
    unfinished,
    ends,
    timer,
    /** Lets stalled statements be answered. */
    resume() {
      state.isStalled = false;
      stalled.splice(0).forEach(deferred => deferred.settle(undefined));
      timer.advance(10);
    },
    enterPhase(phase: StopPhase) {
      state.stopPhase = phase;
      messages.post({kind: 'stop'});
      timer.advance(10);
    },
    /** Error names of the answers so far, or their session states. */
    outcomes: () => answers.map(({error, state: next}) => error?.name ?? next),
  };
}
