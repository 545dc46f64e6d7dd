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
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import type {SessionStatement, TargetRequest} from '@kelpstep/statements';
import type {PinnedConnection} from '@kelpstep/targets';
import {Err, Ok, type Result} from 'ts-results';

import type {Dispatch, DispatchResult} from '../dispatch_types';
import {createPeerReachability} from './peer_reachability';
import {
  type PinnedResult,
  RELAY_END,
  type RelayResult,
  type RelayedStatement,
  readAnswer,
  relayLeader,
  relayPing,
  relayPinned,
  relayStatement,
} from './relay_messages';

/** Outcome of a statement that was sent to another proxy. */
export type RelayOutcome =
  | {readonly kind: 'ended'; readonly result: DispatchResult}
  /** The statement has certainly not run. */
  | {readonly kind: 'notRun'; readonly reason: string}
  /** The statement was sent, but not answered. */
  | {readonly kind: 'lost'};

/** Another proxy that may run statements. */
export interface RelayTarget {
  readonly proxy: string;
  readonly relayAddress: string;
}

/** Dependencies of a relay client. */
export interface RelayClientOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  /** Name of this proxy. */
  readonly self: string;
  /** False once no running proxy has the address. */
  isListed(address: string): boolean;
}

/** Sends statements to other proxies. */
export interface RelayClient {
  dispatch(
    to: RelayTarget,
    work: Dispatch,
    mayWait: boolean,
  ): Task<RelayOutcome>;
  /** Whether the other proxy reaches the group's primary; false if unknown. */
  reachesLeader(address: string, group: string): Future<boolean>;
  /** Sends another proxy a request that is not a statement. */
  request<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /** False from a failure until the proxy answers again. */
  isUsable(address: string): boolean;
  /** Addresses unreachable for some time; a new set after each change. */
  lost(): ReadonlySet<string>;
  close(): void;
}

/** Some round trips between regions, to connect to another proxy. */
const CONNECT_TIMEOUT: Milliseconds = 300;
/** Added to a statement's timeout for the network delay of the answer. */
const ANSWER_ALLOWANCE: Milliseconds = 60;
/** Interval of the check whether the caller still waits. */
const ABANDON_CHECK: Milliseconds = 100;
/** Interval of heartbeats to a proxy that runs statements for this one. */
const PING_PERIOD: Milliseconds = 250;
/**
 * Timeout of a heartbeat. With `HEARTBEAT_INTERVAL_MS`, an unresponsive
 * connection is detected within a second.
 */
const PING_TIMEOUT: Milliseconds = 600;

/** A round trip between regions, one more to connect, and a busy peer. */
const LEADER_TIMEOUT: Milliseconds = 150;

/** A connection and the number of statements and transactions on it. */
interface Use {
  readonly peer: RpcPeer;
  count: number;
}

/** Creates a client without connections. */
export function createRelayClient(options: RelayClientOptions): RelayClient {
  const {runtime, transport, self} = options;
  const {timer} = runtime;
  const links: PeerLinks = createPeerLinks({transport, timer});
  const reachability = createPeerReachability({
    runtime,
    // A frozen process accepts connections but answers nothing.
    isAnswering: address =>
      mapFuture(
        links.request(address, relayPing, {}, CONNECT_TIMEOUT),
        ({ok}) => ok,
      ),
    isListed: options.isListed,
  });
  const uses = new Map<RpcPeer, Use>();
  let nextWork = 1;

  function use(address: string, peer: RpcPeer): void {
    const known = uses.get(peer);
    if (known !== undefined) {
      known.count += 1;
      return;
    }
    const added: Use = {peer, count: 1};
    uses.set(peer, added);
    const pinging = runtime.spawn('ping', keepAsking(address, added));
    peer.closed.onSettled(() => {
      uses.delete(peer);
      pinging.cancel();
      reachability.noteFailure(address);
    });
  }

  function release(peer: RpcPeer): void {
    const known = uses.get(peer);
    if (known !== undefined) {
      known.count -= 1;
    }
  }

  /** Closes a connection that is unresponsive while it is in use. */
  function* keepAsking(address: string, used: Use): Task<void> {
    const {peer} = used;
    for (;;) {
      yield* sleep(PING_PERIOD);
      if (used.count === 0) {
        continue;
      }
      // Marks the connection as used, so that it stays open in long
      // transactions.
      void links.connect(address, CONNECT_TIMEOUT);
      const askedAt = timer.now();
      const reply = yield* waitFor(peer.request(relayPing, {}, PING_TIMEOUT));
      if (reply.err && peer.lastHeardAt() < askedAt) {
        peer.close('silent');
        return;
      }
    }
  }

  function messageFor(
    work: Dispatch,
    number: number,
    mayWait: boolean,
    remaining: Milliseconds,
  ): RelayedStatement {
    const {id, route, account, statement, shape, settings, lastCommit} = work;
    const {needsPrimary, isWrite} = work;
    return {
      work: number,
      sender: self,
      id,
      route: {...route, timeout: remaining},
      ...(account === undefined ? {} : {account}),
      statement: asRelayed(statement),
      ...(shape === undefined ? {} : {shape}),
      values: [...settings.values],
      ...(lastCommit === undefined ? {} : {lastCommit}),
      needsPrimary,
      isWrite,
      mayWait,
    };
  }

  function pin(
    peer: RpcPeer,
    number: number,
    target: string,
    {settings}: Dispatch,
  ): PinnedConnection {
    let isEnded = false;

    function send(
      {id = '', body}: TargetRequest,
      shape: Dispatch['shape'],
      timeout: Milliseconds,
    ) {
      const message = {
        work: number,
        id,
        statement: asRelayed(body as SessionStatement),
        ...(shape === undefined ? {} : {shape}),
        values: [...settings.values],
        timeout,
      };
      return mapFuture(
        peer.request(relayPinned, message, timeout + ANSWER_ALLOWANCE),
        readPinned,
      );
    }

    return {
      target,
      send,
      end() {
        if (!isEnded) {
          isEnded = true;
          peer.notify(RELAY_END, {work: number});
          release(peer);
        }
      },
    };
  }

  /** Waits for the answer, and notifies the peer once the caller has left. */
  function* awaitReply(
    reply: Future<Result<RelayResult, RequestFailure>>,
    work: Dispatch,
    leave: () => void,
  ): Task<Result<RelayResult, RequestFailure>> {
    let hasLeft = false;
    for (;;) {
      const result = yield* waitAtMost(reply, ABANDON_CHECK);
      if (result !== undefined) {
        return result;
      }
      if (!hasLeft && work.isAbandoned()) {
        hasLeft = true;
        leave();
      }
    }
  }

  function conclude(
    to: RelayTarget,
    peer: RpcPeer,
    number: number,
    work: Dispatch,
    reply: RelayResult,
  ): RelayOutcome {
    if (reply.kind === 'notRun') {
      release(peer);
      return reply;
    }
    const {target, attempts, reason, isPinned} = reply;
    if (!isPinned) {
      release(peer);
    }
    const result: DispatchResult = {
      answer: readAnswer(reply.answer),
      target,
      attempts,
      reason,
      via: to.proxy,
      pinned: isPinned ? pin(peer, number, target, work) : undefined,
    };
    return {kind: 'ended', result};
  }

  function* dispatch(
    to: RelayTarget,
    work: Dispatch,
    mayWait: boolean,
  ): Task<RelayOutcome> {
    const address = to.relayAddress;
    const opened = yield* waitFor(links.connect(address, CONNECT_TIMEOUT));
    if (opened.err) {
      reachability.noteFailure(address);
      return {kind: 'notRun', reason: `${to.proxy} not reached`};
    }
    const peer = opened.val;
    const remaining = work.arrivedAt + work.route.timeout - timer.now();
    if (remaining <= 0) {
      return {kind: 'notRun', reason: 'too late'};
    }
    const number = nextWork++;
    const leave = () => peer.notify(RELAY_END, {work: number});
    const message = messageFor(work, number, mayWait, remaining);
    use(address, peer);
    const sent = peer.request(
      relayStatement,
      message,
      remaining + ANSWER_ALLOWANCE,
    );
    const reply = yield* awaitReply(sent, work, leave);
    if (reply.ok) {
      return conclude(to, peer, number, work, reply.val);
    }
    release(peer);
    const {kind, sent: isSent} = reply.val;
    if (!isSent || kind === 'refused') {
      return {kind: 'notRun', reason: `refused by ${to.proxy}`};
    }
    leave();
    return {kind: 'lost'};
  }

  function reachesLeader(address: string, group: string): Future<boolean> {
    return mapFuture(
      links.request(address, relayLeader, {group}, LEADER_TIMEOUT),
      reply => reply.ok && reply.val.isReached,
    );
  }

  function request<P, R>(
    address: string,
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>> {
    const reply = links.request(address, method, parameters, timeout);
    reply.onSettled(result => {
      if (result.err && result.val.kind !== 'refused') {
        reachability.noteFailure(address);
      }
    });
    return reply;
  }

  return {
    dispatch,
    request,
    reachesLeader,
    isUsable: reachability.isUsable,
    lost: reachability.lost,
    close: links.close,
  };
}

function readPinned(reply: Result<PinnedResult, RequestFailure>) {
  return reply.ok && reply.val.kind === 'answered'
    ? Ok(readAnswer(reply.val.answer))
    : Err('closed' as const);
}

/** Statements that only change the session are never sent to other proxies. */
function asRelayed(statement: SessionStatement): RelayedStatement['statement'] {
  switch (statement.kind) {
    case 'set':
    case 'prepare':
    case 'deallocate':
      throw new Error(
        `${statement.kind} only changes the session; not relayed`,
      );
    default:
      return statement;
  }
}
