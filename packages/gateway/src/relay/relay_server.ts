/**
 * Runs statements for other proxies over this proxy's connections to targets.
 */
import {
  type Connection,
  type HandlerTable,
  createHandlerTable,
  createRpcPeer,
} from '@kelpstep/rpc';
import {
  type Deferred,
  type Milliseconds,
  type Runtime,
  type Task,
  createDeferred,
  mapFuture,
  settledFuture,
  sleep,
  waitFor,
} from '@kelpstep/runtime';
import {
  type SessionSettings,
  createSessionSettings,
} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';
import {Ok} from 'ts-results';

import type {LocalDispatcher} from '../dispatch';
import type {Dispatch, DispatchResult} from '../dispatch_types';
import type {GatewayEvents} from '../gateway_events';
import {
  type PinnedResult,
  type PinnedStatement,
  RELAY_END,
  type RelayResult,
  type RelayedStatement,
  relayEndSchema,
  relayLeader,
  relayPing,
  relayPinned,
  relayStatement,
} from './relay_messages';

/** Dependencies of a relay server. */
export interface RelayServerOptions {
  readonly runtime: Runtime;
  readonly local: LocalDispatcher;
  readonly events: GatewayEvents;
  /** True if the group's primary has recently answered this proxy. */
  reachesLeader(group: string): boolean;
  /** True once this proxy is stopping and accepts no new requests. */
  isStopping(): boolean;
  /** Registers further request handlers for other proxies. */
  serveOthers(handlers: HandlerTable): void;
}

/** Runs requests of other proxies. */
export interface RelayServer {
  accept(connection: Connection): void;
  /** Number of other proxies' statements and transactions in progress here. */
  pending(): number;
}

/** A statement or transaction of another proxy. */
interface RelayedWork {
  readonly settings: SessionSettings;
  pinned: PinnedConnection | undefined;
  isEnded: boolean;
}

/**
 * A sender that waits for anything sends several heartbeats in this time. One
 * that is silent for longer is considered stopped, and its transactions are
 * rolled back.
 */
const SENDER_SILENCE: Milliseconds = 2000;
const SILENCE_CHECK: Milliseconds = 500;

/** Creates a server without connections. */
export function createRelayServer(options: RelayServerOptions): RelayServer {
  const {runtime, local, events} = options;
  const {timer} = runtime;
  const senders = new Set<ReadonlyMap<number, RelayedWork>>();

  function toDispatch(message: RelayedStatement, work: RelayedWork): Dispatch {
    const {id, route, account, statement, shape, lastCommit} = message;
    const {needsPrimary, isWrite} = message;
    return {
      id,
      route,
      account,
      statement,
      shape,
      settings: work.settings,
      arrivedAt: timer.now(),
      lastCommit,
      needsPrimary,
      isWrite,
      isAbandoned: () => work.isEnded,
    };
  }

  function report(
    message: RelayedStatement,
    result: DispatchResult,
    startedAt: Milliseconds,
  ): void {
    const {id, route, account = '', statement, sender} = message;
    const {target, attempts, reason, answer} = result;
    events.onRequestEnd({
      id,
      group: route.group,
      account,
      kind: `relayed ${route.freshness} ${statement.kind}`,
      target,
      attempts,
      reason,
      via: sender,
      outcome: answer.error?.name ?? 'ok',
      duration: timer.now() - startedAt,
    });
  }

  function accept(connection: Connection): void {
    const works = new Map<number, RelayedWork>();
    senders.add(works);

    function end(number: number): void {
      const work = works.get(number);
      works.delete(number);
      if (work !== undefined) {
        work.isEnded = true;
        work.pinned?.end();
      }
    }

    function* serve(
      message: RelayedStatement,
      result: Deferred<RelayResult>,
    ): Task<void> {
      const settings = createSessionSettings();
      const work: RelayedWork = {settings, pinned: undefined, isEnded: false};
      takeValues(settings, message.values);
      const dispatch = toDispatch(message, work);
      if (options.isStopping()) {
        result.settle({kind: 'notRun', reason: 'stopping'});
        return;
      }
      if (!message.mayWait && !local.reaches(dispatch)) {
        result.settle({kind: 'notRun', reason: 'not reached'});
        return;
      }
      works.set(message.work, work);
      const outcome = yield* local.dispatch(dispatch);
      report(message, outcome, dispatch.arrivedAt);
      result.settle(conclude(message.work, work, outcome));
    }

    function conclude(
      number: number,
      work: RelayedWork,
      {answer, target, attempts, reason, pinned}: DispatchResult,
    ): RelayResult {
      if (work.isEnded) {
        pinned?.end();
      } else if (pinned === undefined) {
        works.delete(number);
      } else {
        work.pinned = pinned;
      }
      const isPinned = work.pinned !== undefined;
      return {kind: 'ended', answer, target, attempts, reason, isPinned};
    }

    function* servePinned(
      message: PinnedStatement,
      result: Deferred<PinnedResult>,
    ): Task<void> {
      const work = works.get(message.work);
      if (work?.pinned === undefined) {
        result.settle({kind: 'lost'});
        return;
      }
      takeValues(work.settings, message.values);
      const {id, statement, shape, timeout} = message;
      const reply = yield* waitFor(
        work.pinned.send({id, body: statement}, shape, timeout),
      );
      result.settle(
        reply.ok ? {kind: 'answered', answer: reply.val} : {kind: 'lost'},
      );
    }

    function spawnFor<R>(task: (result: Deferred<R>) => Task<void>) {
      const result = createDeferred<R>();
      runtime.spawn('relayed', task(result));
      return mapFuture(result.future, value => Ok(value));
    }

    const handlers = createHandlerTable()
      .handle(relayStatement, message =>
        spawnFor<RelayResult>(result => serve(message, result)),
      )
      .handle(relayPinned, message =>
        spawnFor<PinnedResult>(result => servePinned(message, result)),
      )
      .handle(relayLeader, ({group}) =>
        settledFuture(Ok({isReached: options.reachesLeader(group)})),
      )
      .handle(relayPing, () => settledFuture(Ok({})));
    options.serveOthers(handlers);
    const peer = createRpcPeer({connection, timer, handlers});
    peer.onNotification(RELAY_END, parameters => {
      // An invalid message is ignored; the sender timeout covers its loss.
      const parsed = relayEndSchema.safeParse(parameters);
      if (parsed.success) {
        end(parsed.data.work);
      }
    });

    function* watchSilence(): Task<void> {
      while (!peer.closed.isSettled()) {
        yield* sleep(SILENCE_CHECK);
        const silence = timer.now() - peer.lastHeardAt();
        if (works.size > 0 && silence > SENDER_SILENCE) {
          peer.close('silent');
        }
      }
    }

    runtime.spawn('sender silence', watchSilence());
    peer.closed.onSettled(() => {
      [...works.keys()].forEach(end);
      senders.delete(works);
    });
  }

  return {
    accept,
    pending: () => [...senders].reduce((sum, works) => sum + works.size, 0),
  };
}

/** Applies the session's current settings; settings are never removed. */
function takeValues(
  {values}: SessionSettings,
  next: ReadonlyArray<readonly [string, string]>,
): void {
  next.forEach(([name, value]) => values.set(name, value));
}
