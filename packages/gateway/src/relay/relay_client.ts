/** Runs statements through other proxies. */
import type {Method} from '@kelpstep/protocol';
import {
  type PeerLinks,
  type RequestFailure,
  type RpcPeer,
  type Transport,
  createPeerLinks,
} from '@kelpstep/rpc';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  mapFuture,
  sleep,
  waitWithTimeout,
  waitFor,
} from '@kelpstep/runtime';
import type {PeerView} from '@kelpstep/succession';
import type {Result} from 'ts-results';

import type {DispatchRequest, DispatchResult} from '../dispatch_types';
import {createPeerReachability} from './peer_reachability';
import {
  RELAY_END,
  type RelayResult,
  type RelayedStatement,
  readAnswer,
  relayLeader,
  relayPing,
  relayStatement,
} from './relay_messages';
import {
  ANSWER_MARGIN_MS,
  createRemotePinned,
  toRelayedStatement,
} from './remote_pinned';

/** Outcome of an attempt to run a statement through another proxy. */
export type RelayOutcome =
  | {readonly kind: 'ended'; readonly result: DispatchResult}
  /**
   * The statement has certainly not run. `wait` is the time until the peer
   * expects to start such a statement, if known.
   */
  | {
      readonly kind: 'notRun';
      readonly reason: string;
      readonly wait?: Milliseconds | undefined;
    }
  /** The statement was sent, but not answered. */
  | {readonly kind: 'lost'};

/** Another proxy that may run statements. */
export interface RelayPeer {
  readonly proxy: string;
  readonly relayAddress: string;
}

export interface RelayClientOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  /** Name of this proxy. */
  readonly self: string;
  /** False once no running proxy has the address. */
  isLive(address: string): boolean;
}

/**
 * Sends statements and other requests to other proxies, and tracks which of
 * them are reachable.
 */
export interface RelayClient {
  dispatch(
    relayPeer: RelayPeer,
    request: DispatchRequest,
    mayWait: boolean,
  ): Task<RelayOutcome>;
  /**
   * Which targets of the group the other proxy reaches. If it doesn't answer, it
   * counts as not reaching the primary.
   */
  viewOf(address: string, group: string): Future<PeerView>;
  /** Sends another proxy a request that is not a statement. */
  request<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /**
   * False from a failure until the proxy answers a heartbeat, or until no
   * running proxy has the address.
   */
  isUsable(address: string): boolean;
  /**
   * Addresses that have been unreachable for some time; a new set after each
   * change.
   */
  lost(): ReadonlySet<string>;
  close(): void;
}

/**
 * Timeout for connecting to another proxy: some round trips between regions.
 */
const CONNECT_TIMEOUT_MS: Milliseconds = 300;
/** Interval between checks of whether the caller still waits. */
const ABANDON_CHECK_INTERVAL_MS: Milliseconds = 100;
/** Interval of heartbeats to a proxy that runs statements for this one. */
const HEARTBEAT_INTERVAL_MS: Milliseconds = 250;
/**
 * Timeout of a heartbeat. With `HEARTBEAT_INTERVAL_MS`, an unresponsive
 * connection is detected within a second.
 */
const HEARTBEAT_TIMEOUT_MS: Milliseconds = 600;

/**
 * Timeout of a primary check: a round trip between regions, one more to
 * connect, and the delay of a busy peer.
 */
const PRIMARY_CHECK_TIMEOUT_MS: Milliseconds = 150;

/** A connection and the number of statements and transactions on it. */
interface PeerUsage {
  readonly peer: RpcPeer;
  count: number;
}

/** Creates a client, which connects to a proxy when it first needs it. */
export function createRelayClient(options: RelayClientOptions): RelayClient {
  const {runtime, transport, self} = options;
  const {timer} = runtime;
  const links: PeerLinks = createPeerLinks({transport, timer});
  const reachability = createPeerReachability({
    runtime,
    // A request is sent, because a frozen process accepts connections but
    // answers nothing.
    sendHeartbeat: address =>
      mapFuture(
        links.request(address, relayPing, {}, CONNECT_TIMEOUT_MS),
        ({ok}) => ok,
      ),
    isLive: options.isLive,
  });
  const usages = new Map<RpcPeer, PeerUsage>();
  let nextRequestNumber = 1;

  function acquire(address: string, peer: RpcPeer): void {
    const usage = usages.get(peer);
    if (usage !== undefined) {
      usage.count += 1;
      return;
    }
    const created: PeerUsage = {peer, count: 1};
    usages.set(peer, created);
    const heartbeats = runtime.spawn('ping', sendHeartbeats(address, created));
    peer.closed.onSettled(() => {
      usages.delete(peer);
      heartbeats.cancel();
      reachability.recordFailure(address);
    });
  }

  function release(peer: RpcPeer): void {
    const usage = usages.get(peer);
    if (usage !== undefined) {
      usage.count -= 1;
    }
  }

  /**
   * Sends heartbeats while the connection is in use, and closes it if nothing
   * is received after an unanswered heartbeat.
   */
  function* sendHeartbeats(address: string, usage: PeerUsage): Task<void> {
    const {peer} = usage;
    for (;;) {
      yield* sleep(HEARTBEAT_INTERVAL_MS);
      if (usage.count === 0) {
        continue;
      }
      // This marks the connection as used, so that it stays open in long
      // transactions.
      void links.connect(address, CONNECT_TIMEOUT_MS);
      const sentAt = timer.now();
      const reply = yield* waitFor(
        peer.request(relayPing, {}, HEARTBEAT_TIMEOUT_MS),
      );
      if (reply.err && peer.lastHeardAt() < sentAt) {
        peer.close('silent');
        return;
      }
    }
  }

  function toMessage(
    request: DispatchRequest,
    requestNumber: number,
    mayWait: boolean,
    remaining: Milliseconds,
  ): RelayedStatement {
    const {id, route, account, statement, shape, settings, lastCommit} =
      request;
    const {needsPrimary, isWrite} = request;
    return {
      work: requestNumber,
      sender: self,
      id,
      route: {...route, timeout: remaining},
      ...(account === undefined ? {} : {account}),
      statement: toRelayedStatement(statement),
      ...(shape === undefined ? {} : {shape}),
      values: [...settings.values],
      ...(lastCommit === undefined ? {} : {lastCommit}),
      needsPrimary,
      isWrite,
      mayWait,
    };
  }

  /**
   * Waits for the answer; notifies the peer once if the caller stops waiting.
   */
  function* awaitReply(
    reply: Future<Result<RelayResult, RequestFailure>>,
    request: DispatchRequest,
    notifyEnd: () => void,
  ): Task<Result<RelayResult, RequestFailure>> {
    let hasNotified = false;
    for (;;) {
      const result = yield* waitWithTimeout(reply, ABANDON_CHECK_INTERVAL_MS);
      if (result !== undefined) {
        return result;
      }
      if (!hasNotified && request.isAbandoned()) {
        hasNotified = true;
        notifyEnd();
      }
    }
  }

  function toOutcome(
    relayPeer: RelayPeer,
    peer: RpcPeer,
    requestNumber: number,
    request: DispatchRequest,
    reply: RelayResult,
  ): RelayOutcome {
    if (reply.kind === 'notRun') {
      request.runs.add(reply.runs ?? 0);
      release(peer);
      return reply;
    }
    const {target, attempts, reason, isPinned} = reply;
    request.runs.add(reply.runs ?? attempts);
    if (!isPinned) {
      release(peer);
    }
    const result: DispatchResult = {
      answer: readAnswer(reply.answer),
      target,
      attempts,
      reason,
      via: relayPeer.proxy,
      pinned: isPinned
        ? createRemotePinned({
            peer,
            requestNumber,
            target,
            settings: request.settings,
            onEnd: () => release(peer),
          })
        : undefined,
    };
    return {kind: 'ended', result};
  }

  function* dispatch(
    relayPeer: RelayPeer,
    request: DispatchRequest,
    mayWait: boolean,
  ): Task<RelayOutcome> {
    const address = relayPeer.relayAddress;
    const opened = yield* waitFor(links.connect(address, CONNECT_TIMEOUT_MS));
    if (opened.err) {
      reachability.recordFailure(address);
      return {kind: 'notRun', reason: `${relayPeer.proxy} not reached`};
    }
    const peer = opened.val;
    const remaining = request.arrivedAt + request.route.timeout - timer.now();
    if (remaining <= 0) {
      return {kind: 'notRun', reason: 'too late'};
    }
    const requestNumber = nextRequestNumber++;
    const notifyEnd = () => peer.notify(RELAY_END, {work: requestNumber});
    const message = toMessage(request, requestNumber, mayWait, remaining);
    acquire(address, peer);
    const sent = peer.request(
      relayStatement,
      message,
      remaining + ANSWER_MARGIN_MS,
    );
    const reply = yield* awaitReply(sent, request, notifyEnd);
    if (reply.ok) {
      return toOutcome(relayPeer, peer, requestNumber, request, reply.val);
    }
    release(peer);
    const {kind, sent: isSent} = reply.val;
    if (!isSent || kind === 'refused') {
      return {kind: 'notRun', reason: `refused by ${relayPeer.proxy}`};
    }
    request.runs.add(1);
    notifyEnd();
    return {kind: 'lost'};
  }

  function viewOf(address: string, group: string): Future<PeerView> {
    return mapFuture(
      links.request(address, relayLeader, {group}, PRIMARY_CHECK_TIMEOUT_MS),
      reply =>
        reply.ok
          ? {
              reachesPrimary: reply.val.isReached,
              reachesReplica: reply.val.reachesReplica,
            }
          : {reachesPrimary: false},
    );
  }

  function sendRequest<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>> {
    const reply = links.request(address, method, parameters, timeout);
    reply.onSettled(result => {
      if (result.err && result.val.kind !== 'refused') {
        reachability.recordFailure(address);
      }
    });
    return reply;
  }

  return {
    dispatch,
    request: sendRequest,
    viewOf,
    isUsable: reachability.isUsable,
    lost: reachability.lost,
    close: links.close,
  };
}
