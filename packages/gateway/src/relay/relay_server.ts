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
import type {CommitEvidence, PeerView} from '@kelpstep/succession';
import type {PinnedConnection} from '@kelpstep/targets';
import {Ok} from 'ts-results';

import type {LocalDispatcher} from '../dispatch';
import {
  type DispatchRequest,
  type DispatchResult,
  NO_ROOM,
  latestStart,
} from '../dispatch_types';
import type {GatewayEvents} from '../gateway_events';
import {type StopPhase, refuseInTransaction} from '../session_stop';
import {LONGEST_IMMEDIATE_WAIT_MS} from '../start_wait';
import {type RunCounter, createRunCounter} from '../statement_runs';
import {STOPPING} from '../transaction_failure';
import {
  type PinnedResult,
  type PinnedStatement,
  RELAY_END,
  type RelayResult,
  type RelayedStatement,
  relayEndSchema,
  relayCommits,
  relayLeader,
  relayPing,
  relayPinned,
  relayStatement,
} from './relay_messages';

export interface RelayServerOptions {
  readonly runtime: Runtime;
  readonly local: LocalDispatcher;
  readonly events: GatewayEvents;
  /** Which targets of the group have recently answered this proxy. */
  viewOf(group: string): Required<PeerView>;
  /** Which commits of the group were acknowledged to this proxy. */
  evidenceOf(group: string): CommitEvidence;
  /** No new request is accepted while sessions end. */
  stopPhase(): StopPhase;
  /** Registers further request handlers for other proxies. */
  registerHandlers(handlers: HandlerTable): void;
}

/** Accepts connections of other proxies and runs their statements. */
export interface RelayServer {
  accept(connection: Connection): void;
  /** Number of other proxies' statements and transactions in progress here. */
  pending(): number;
}

/** A statement or transaction of another proxy that is in progress here. */
interface RelayedRequest {
  readonly settings: SessionSettings;
  readonly runs: RunCounter;
  pinned: PinnedConnection | undefined;
  isEnded: boolean;
}

/**
 * Time after which an unresponsive sender counts as stopped, and its
 * transactions are rolled back. A sender that has requests in progress sends
 * several heartbeats in this time.
 */
const SENDER_TIMEOUT_MS: Milliseconds = 2000;
const SENDER_CHECK_INTERVAL_MS: Milliseconds = 500;

/** Reason of a refusal whose end can't be predicted. */
const NO_CONNECTION = 'no connection';

/** Creates a server without connections. */
export function createRelayServer(options: RelayServerOptions): RelayServer {
  const {runtime, local, events} = options;
  const {timer} = runtime;
  const senders = new Set<ReadonlyMap<number, RelayedRequest>>();

  function toDispatchRequest(
    message: RelayedStatement,
    request: RelayedRequest,
  ): DispatchRequest {
    const {id, route, account, statement, shape, lastCommit} = message;
    const {needsPrimary, isWrite} = message;
    return {
      id,
      route,
      account,
      statement,
      shape,
      settings: request.settings,
      runs: request.runs,
      arrivedAt: timer.now(),
      lastCommit,
      needsPrimary,
      isWrite,
      isAbandoned: () => request.isEnded,
    };
  }

  /**
   * The answer to a statement that can't start at once or, if it may wait, in
   * time; undefined if it is to be run. While no target is reached, a statement
   * that may wait is run, because one may be reached in time.
   */
  function refusalOf(
    {mayWait}: RelayedStatement,
    request: DispatchRequest,
  ): RelayResult | undefined {
    const wait = local.expectedWait(request);
    if (wait === undefined) {
      return mayWait ? undefined : {kind: 'notRun', reason: 'not reached'};
    }
    const longest = mayWait
      ? latestStart(request) - timer.now()
      : LONGEST_IMMEDIATE_WAIT_MS;
    return wait > longest ? {kind: 'notRun', reason: NO_ROOM, wait} : undefined;
  }

  function report(
    message: RelayedStatement,
    result: DispatchResult,
    startedAt: Milliseconds,
    isUndelivered: boolean,
  ): void {
    const {id, route, account = '', statement, sender, isWrite} = message;
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
      isWrite,
      isUndelivered,
    });
  }

  function accept(connection: Connection): void {
    const requests = new Map<number, RelayedRequest>();
    senders.add(requests);

    function end(requestNumber: number): void {
      const request = requests.get(requestNumber);
      requests.delete(requestNumber);
      if (request !== undefined) {
        request.isEnded = true;
        request.pinned?.end();
      }
    }

    function* serve(
      message: RelayedStatement,
      result: Deferred<RelayResult>,
    ): Task<void> {
      const settings = createSessionSettings();
      const request: RelayedRequest = {
        settings,
        runs: createRunCounter(),
        pinned: undefined,
        isEnded: false,
      };
      applyValues(settings, message.values);
      const dispatchRequest = toDispatchRequest(message, request);
      if (options.stopPhase() !== 'serving') {
        result.settle({kind: 'notRun', reason: STOPPING});
        return;
      }
      const refusal = refusalOf(message, dispatchRequest);
      if (refusal !== undefined) {
        result.settle(refusal);
        return;
      }
      requests.set(message.work, request);
      const outcome = yield* local.tryDispatch(
        dispatchRequest,
        () => !message.mayWait,
      );
      if (outcome === undefined) {
        requests.delete(message.work);
        const runs = request.runs.total();
        result.settle(noRoom(local.expectedWait(dispatchRequest), runs));
        return;
      }
      report(message, outcome, dispatchRequest.arrivedAt, request.isEnded);
      result.settle(toResult(message.work, request, outcome));
    }

    function toResult(
      requestNumber: number,
      request: RelayedRequest,
      {answer, target, attempts, reason, pinned}: DispatchResult,
    ): RelayResult {
      if (request.isEnded) {
        pinned?.end();
      } else if (pinned === undefined) {
        requests.delete(requestNumber);
      } else {
        request.pinned = pinned;
      }
      const isPinned = request.pinned !== undefined;
      const runs = request.runs.total();
      return {kind: 'ended', answer, target, attempts, runs, reason, isPinned};
    }

    function* servePinned(
      message: PinnedStatement,
      result: Deferred<PinnedResult>,
    ): Task<void> {
      const request = requests.get(message.work);
      if (request?.pinned === undefined) {
        result.settle({kind: 'lost'});
        return;
      }
      if (options.stopPhase() === 'endingTransactions') {
        end(message.work);
        result.settle({kind: 'answered', answer: refuseInTransaction()});
        return;
      }
      applyValues(request.settings, message.values);
      const {id, statement, shape, timeout} = message;
      const reply = yield* waitFor(
        request.pinned.send({id, body: statement}, shape, timeout),
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
      .handle(relayLeader, ({group}) => {
        const {reachesPrimary, reachesReplica} = options.viewOf(group);
        return settledFuture(Ok({isReached: reachesPrimary, reachesReplica}));
      })
      .handle(relayCommits, ({group}) =>
        settledFuture(Ok(options.evidenceOf(group))),
      )
      .handle(relayPing, () => settledFuture(Ok({})));
    options.registerHandlers(handlers);
    const peer = createRpcPeer({connection, timer, handlers});
    peer.onNotification(RELAY_END, parameters => {
      // An invalid message is ignored: its request ends when the connection is
      // closed, at the latest by the sender timeout once the sender no longer
      // uses the connection.
      const parsed = relayEndSchema.safeParse(parameters);
      if (parsed.success) {
        end(parsed.data.work);
      }
    });

    function* closeUnresponsive(): Task<void> {
      while (!peer.closed.isSettled()) {
        yield* sleep(SENDER_CHECK_INTERVAL_MS);
        const unresponsiveFor = timer.now() - peer.lastHeardAt();
        if (requests.size > 0 && unresponsiveFor > SENDER_TIMEOUT_MS) {
          peer.close('silent');
        }
      }
    }

    runtime.spawn('sender silence', closeUnresponsive());
    peer.closed.onSettled(() => {
      [...requests.keys()].forEach(end);
      senders.delete(requests);
    });
  }

  return {
    accept,
    pending: () =>
      [...senders].reduce((sum, requests) => sum + requests.size, 0),
  };
}

/**
 * The answer to a statement for which there was no connection after all. A
 * short prediction is left out, as it was wrong: the target is at its limit for
 * an unknown time, and the sender is not to ask again soon. The reason then
 * differs from that of older peers, which report no wait but may have room.
 */
function noRoom(wait: Milliseconds | undefined, runs: number): RelayResult {
  return wait === undefined || wait <= LONGEST_IMMEDIATE_WAIT_MS
    ? {kind: 'notRun', reason: NO_CONNECTION, runs}
    : {kind: 'notRun', reason: NO_ROOM, runs, wait};
}

/** Sets the session's current variables; a session never removes variables. */
function applyValues(
  {values}: SessionSettings,
  next: ReadonlyArray<readonly [string, string]>,
): void {
  next.forEach(([name, value]) => values.set(name, value));
}
