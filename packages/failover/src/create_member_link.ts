/**
 * Keeps the control connection to one member: follows its status as a stream and
 * carries the requests of rounds and promotions. A silent stream says nothing
 * about its target, so a member counts as lost only when a fresh connection
 * fails too.
 */
import type {Member} from '@kelpstep/manifest';
import {
  Method,
  TargetStatus,
  targetPositions,
  targetStatus,
  targetSubscribePositions,
} from '@kelpstep/protocol';
import {RequestFailure, RpcPeer, Transport, createRpcPeer} from '@kelpstep/rpc';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  createMailbox,
  delay,
  perform,
  race,
  settled,
  settledFuture,
  waitFor,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {NOT_CONNECTED, dialWithin, firstAnswer} from './fresh_connection';
import type {LinkCondition, LossReason, MemberLink} from './member_link';
import {reconnectPause} from './reconnect_pause';
import type {FailoverTimings} from './timings';

/** What a link is made of. */
export interface MemberLinkOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly timings: FailoverTimings;
  readonly member: Member;
  /** Period of questions in place of the stream; undefined: the stream. */
  pollPeriod(): Milliseconds | undefined;
  /** Called after each status and each change of condition. */
  onChange(): void;
}

/** Opens a control connection and keeps it open until it is closed. */
export function createMemberLink(options: MemberLinkOptions): MemberLink {
  const {runtime, transport, timings, member, onChange} = options;
  const {timer, random} = runtime;
  const signals = createMailbox<'suspected' | 'paced'>();
  let condition: LinkCondition = 'connecting';
  let lossReason: LossReason | undefined;
  let current: RpcPeer | undefined;
  let lastStatus: TargetStatus | undefined;
  let statusAt = -Infinity;
  let incarnationSince = timer.now();
  /** True while the present connection carries a stream. */
  let isStreaming = false;
  let reachableSince = timer.now();

  function changeCondition(next: LinkCondition): void {
    if (condition !== next) {
      condition = next;
      onChange();
    }
  }

  function acceptStatus(peer: RpcPeer, status: TargetStatus): void {
    if (peer !== current || status.target !== member.id) {
      return;
    }
    if (status.incarnation !== lastStatus?.incarnation) {
      incarnationSince = timer.now();
    }
    lastStatus = status;
    statusAt = timer.now();
    onChange();
  }

  function listen(peer: RpcPeer): void {
    peer.onNotification(targetPositions.name, parameters => {
      const parsed = targetPositions.parameters.safeParse(parameters);
      if (parsed.success) {
        acceptStatus(peer, parsed.data);
      }
    });
  }

  /** A fresh connection whose target answers, within the time for it. */
  function* connect(): Task<Result<RpcPeer, LossReason>> {
    const deadline = timer.now() + timings.freshConnectionTimeout;
    const dialled = yield* dialWithin(
      transport,
      member.address,
      timings.freshConnectionTimeout,
    );
    if (dialled.err) {
      return Err(dialled.val.kind === 'refused' ? 'refused' : 'unanswered');
    }
    const peer = createRpcPeer({connection: dialled.val, timer});
    const answer = yield* firstAnswer(peer, deadline - timer.now());
    if (answer.err) {
      peer.close('no answer to a fresh connection');
      const exhausted = answer.val.failure.name === 'CONNECTIONS_EXHAUSTED';
      return Err(exhausted ? 'exhausted' : 'unanswered');
    }
    install(peer, answer.val);
    return Ok(peer);
  }

  function install(peer: RpcPeer, status: TargetStatus): void {
    if (condition === 'lost' || condition === 'connecting') {
      reachableSince = timer.now();
    }
    const replaced = current;
    current = peer;
    replaced?.close('replaced by a fresh connection');
    lossReason = undefined;
    listen(peer);
    isStreaming = false;
    if (options.pollPeriod() === undefined) {
      subscribe(peer);
    }
    condition = 'open';
    acceptStatus(peer, status);
  }

  function subscribe(peer: RpcPeer): void {
    isStreaming = true;
    peer.request(
      targetSubscribePositions,
      {heartbeatMilliseconds: timings.heartbeat},
      timings.requestTimeout,
    );
  }

  /**
   * Follows the stream, or asks from time to time. Ends with the reason once no connection answers, and
   * with `undefined` if the connection broke.
   */
  function* follow(first: RpcPeer): Task<LossReason | undefined> {
    let peer = first;
    for (;;) {
      const winner = yield* perform(
        race<unknown>([
          settled(peer.closed),
          signals.next(),
          delay(patience(peer)),
        ]),
      );
      if (winner.index === 0) {
        return undefined;
      }
      const signal = winner.index === 1 ? winner.value : undefined;
      if (signal === 'paced') {
        peer = yield* changePace(peer);
        continue;
      }
      if (yield* isAlive(peer, signal === 'suspected')) {
        continue;
      }
      const next = yield* replaceSilent(peer);
      if (next.err) {
        return next.val;
      }
      peer = next.val;
    }
  }

  /** How long the connection may be quiet. */
  function patience(peer: RpcPeer): Milliseconds {
    const pollPeriod = isStreaming ? undefined : options.pollPeriod();
    const limit = pollPeriod ?? timings.silenceLimit;
    return limit - (timer.now() - peer.lastHeardAt());
  }

  function* isAlive(peer: RpcPeer, suspected: boolean): Task<boolean> {
    if (isStreaming || suspected) {
      return isHeard(peer, suspected);
    }
    return (yield* waitFor(ask(timings.requestTimeout))).ok;
  }

  /**
   * Starts the stream, or takes a connection without one in place of the one
   * with it: a target ends a stream only with its connection.
   */
  function* changePace(peer: RpcPeer): Task<RpcPeer> {
    const streams = options.pollPeriod() === undefined;
    if (streams === isStreaming) {
      return peer;
    }
    if (!streams) {
      const fresh = yield* connect();
      return fresh.ok ? fresh.val : peer;
    }
    // Its answer comes before the silence of the stream is judged.
    yield* waitFor(ask(timings.requestTimeout));
    subscribe(peer);
    return peer;
  }

  function isHeard(peer: RpcPeer, suspected: boolean): boolean {
    const limit = suspected ? 2 * timings.heartbeat : timings.silenceLimit;
    return timer.now() - peer.lastHeardAt() < limit;
  }

  /** A fresh connection, the old one if it spoke meanwhile, or neither. */
  function* replaceSilent(peer: RpcPeer): Task<Result<RpcPeer, LossReason>> {
    const startedAt = timer.now();
    changeCondition('silent');
    const fresh = yield* connect();
    if (fresh.ok) {
      return fresh;
    }
    if (peer.lastHeardAt() > startedAt && !peer.closed.isSettled()) {
      changeCondition('open');
      return Ok(peer);
    }
    peer.close('silent');
    return fresh;
  }

  function* run(): Task<never> {
    let failures = 0;
    for (;;) {
      const startedAt = timer.now();
      const connected = yield* connect();
      const loss = connected.ok ? yield* follow(connected.val) : connected.val;
      current = undefined;
      if (connected.ok && timer.now() - startedAt > timings.silenceLimit) {
        failures = 0;
      }
      lossReason = loss;
      changeCondition(loss === undefined ? 'silent' : 'lost');
      // A stream that broke is tried anew at once: that is the fresh
      // connection which tells whether its target is lost.
      if (loss !== undefined || failures > 0) {
        yield* perform(delay(reconnectPause(timings, failures, random)));
      }
      failures++;
    }
  }

  function request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>> {
    return current === undefined
      ? settledFuture(Err(NOT_CONNECTED))
      : current.request(method, parameters, timeout);
  }

  function ask(
    timeout: Milliseconds,
  ): Future<Result<TargetStatus, RequestFailure>> {
    const peer = current;
    const reply = request(targetStatus, {}, timeout);
    reply.onSettled(result => {
      if (result.ok && peer !== undefined) {
        acceptStatus(peer, result.val);
      }
    });
    return reply;
  }

  const task = runtime.spawn(`link ${member.id}`, run());

  return {
    member,
    condition: () => condition,
    lossReason: () => lossReason,
    status: () => lastStatus,
    statusAt: () => statusAt,
    reachableSince: () => reachableSince,
    incarnationSince: () => incarnationSince,
    request,
    ask,
    suspect() {
      if (condition === 'open' && signals.size() === 0) {
        signals.post('suspected');
      }
    },
    reviewPace() {
      const streams = options.pollPeriod() === undefined;
      if (condition === 'open' && streams !== isStreaming) {
        signals.post('paced');
      }
    },
    close() {
      task.cancel();
      current?.close('no longer needed');
      current = undefined;
      condition = 'connecting';
    },
  };
}
