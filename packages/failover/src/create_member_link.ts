/**
 * Maintains the control connection to one member. It receives the member's
 * status, by stream or by probes, and carries the requests of rounds and
 * promotions. An unresponsive connection does not prove that its target is
 * down, so a member counts as lost only when a new connection fails too.
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

import {
  NOT_CONNECTED,
  dialWithin,
  requestFirstStatus,
} from './connection_setup';
import type {LinkCondition, LossReason, MemberLink} from './member_link';
import {reconnectBackoff} from './reconnect_backoff';
import type {FailoverTimings} from './timings';

export interface MemberLinkOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly timings: FailoverTimings;
  readonly member: Member;
  /** Interval of status probes; `undefined` selects the status stream. */
  probeInterval(): Milliseconds | undefined;
  /** Called after each status and each change of the condition. */
  onChange(): void;
}

/** Opens a control connection and keeps it open until it is closed. */
export function createMemberLink(options: MemberLinkOptions): MemberLink {
  const {runtime, transport, timings, member, onChange} = options;
  const {timer, random} = runtime;
  const signals = createMailbox<'suspected' | 'paced'>();
  let condition: LinkCondition = 'connecting';
  let lossReason: LossReason | undefined;
  let currentPeer: RpcPeer | undefined;
  let lastStatus: TargetStatus | undefined;
  let statusAt = -Infinity;
  let incarnationSince = timer.now();
  /** True while the present connection carries a status stream. */
  let isStreaming = false;
  let reachableSince = timer.now();

  function changeCondition(next: LinkCondition): void {
    if (condition !== next) {
      condition = next;
      onChange();
    }
  }

  function acceptStatus(peer: RpcPeer, status: TargetStatus): void {
    if (peer !== currentPeer || status.target !== member.id) {
      return;
    }
    if (status.incarnation !== lastStatus?.incarnation) {
      incarnationSince = timer.now();
    }
    lastStatus = status;
    statusAt = timer.now();
    onChange();
  }

  function listenForStatuses(peer: RpcPeer): void {
    peer.onNotification(targetPositions.name, parameters => {
      const parsed = targetPositions.parameters.safeParse(parameters);
      if (parsed.success) {
        acceptStatus(peer, parsed.data);
      }
    });
  }

  /** Opens a connection and waits for the target's first status. */
  function* connect(): Task<Result<RpcPeer, LossReason>> {
    const deadline = timer.now() + timings.connectionTimeout;
    const dialled = yield* dialWithin(
      transport,
      member.address,
      timings.connectionTimeout,
    );
    if (dialled.err) {
      return Err(dialled.val.kind === 'refused' ? 'refused' : 'unanswered');
    }
    const peer = createRpcPeer({connection: dialled.val, timer});
    const answer = yield* requestFirstStatus(peer, deadline - timer.now());
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
    const replaced = currentPeer;
    currentPeer = peer;
    replaced?.close('replaced by a fresh connection');
    lossReason = undefined;
    listenForStatuses(peer);
    isStreaming = false;
    if (options.probeInterval() === undefined) {
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
   * Tracks the status by stream or by probes. Returns the reason once the
   * connection is unresponsive and a new one fails, or `undefined` if the
   * connection broke.
   */
  function* trackStatus(first: RpcPeer): Task<LossReason | undefined> {
    let peer = first;
    for (;;) {
      const winner = yield* perform(
        race<unknown>([
          settled(peer.closed),
          signals.next(),
          delay(remainingQuietTime(peer)),
        ]),
      );
      if (winner.index === 0) {
        return undefined;
      }
      const signal = winner.index === 1 ? winner.value : undefined;
      if (signal === 'paced') {
        peer = yield* switchMode(peer);
        continue;
      }
      if (yield* isAlive(peer, signal === 'suspected')) {
        continue;
      }
      const next = yield* replaceUnresponsive(peer);
      if (next.err) {
        return next.val;
      }
      peer = next.val;
    }
  }

  /**
   * Returns the time until the connection must be checked if nothing arrives.
   */
  function remainingQuietTime(peer: RpcPeer): Milliseconds {
    const probeInterval = isStreaming ? undefined : options.probeInterval();
    const limit = probeInterval ?? timings.streamTimeout;
    return limit - (timer.now() - peer.lastHeardAt());
  }

  function* isAlive(peer: RpcPeer, suspected: boolean): Task<boolean> {
    if (isStreaming || suspected) {
      return isResponsive(peer, suspected);
    }
    return (yield* waitFor(probe(timings.requestTimeout))).ok;
  }

  /**
   * Changes between stream and probes. To end a stream the connection is
   * replaced, because a target ends a stream only together with its connection.
   */
  function* switchMode(peer: RpcPeer): Task<RpcPeer> {
    const wantsStream = options.probeInterval() === undefined;
    if (wantsStream === isStreaming) {
      return peer;
    }
    if (!wantsStream) {
      const replacement = yield* connect();
      return replacement.ok ? replacement.val : peer;
    }
    // The answer resets the quiet time, which may exceed `streamTimeout`.
    yield* waitFor(probe(timings.requestTimeout));
    subscribe(peer);
    return peer;
  }

  function isResponsive(peer: RpcPeer, suspected: boolean): boolean {
    const limit = suspected ? 2 * timings.heartbeat : timings.streamTimeout;
    return timer.now() - peer.lastHeardAt() < limit;
  }

  /**
   * Opens a new connection. Returns it, or the old one if that has become
   * responsive meanwhile, or the reason why the new one failed.
   */
  function* replaceUnresponsive(
    peer: RpcPeer,
  ): Task<Result<RpcPeer, LossReason>> {
    const startedAt = timer.now();
    changeCondition('silent');
    const replacement = yield* connect();
    if (replacement.ok) {
      return replacement;
    }
    if (peer.lastHeardAt() > startedAt && !peer.closed.isSettled()) {
      changeCondition('open');
      return Ok(peer);
    }
    peer.close('silent');
    return replacement;
  }

  function* run(): Task<never> {
    let failures = 0;
    for (;;) {
      const startedAt = timer.now();
      const connected = yield* connect();
      const lossCause = connected.ok
        ? yield* trackStatus(connected.val)
        : connected.val;
      currentPeer = undefined;
      if (connected.ok && timer.now() - startedAt > timings.streamTimeout) {
        failures = 0;
      }
      lossReason = lossCause;
      changeCondition(lossCause === undefined ? 'silent' : 'lost');
      // After a broken connection the next attempt starts without delay,
      // because its result decides whether the member is lost.
      if (lossCause !== undefined || failures > 0) {
        yield* perform(delay(reconnectBackoff(timings, failures, random)));
      }
      failures++;
    }
  }

  function request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>> {
    return currentPeer === undefined
      ? settledFuture(Err(NOT_CONNECTED))
      : currentPeer.request(method, parameters, timeout);
  }

  function probe(
    timeout: Milliseconds,
  ): Future<Result<TargetStatus, RequestFailure>> {
    const peer = currentPeer;
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
    probe,
    suspect() {
      if (condition === 'open' && signals.size() === 0) {
        signals.post('suspected');
      }
    },
    applyProbeInterval() {
      const wantsStream = options.probeInterval() === undefined;
      if (condition === 'open' && wantsStream !== isStreaming) {
        signals.post('paced');
      }
    },
    close() {
      task.cancel();
      currentPeer?.close('no longer needed');
      currentPeer = undefined;
      condition = 'connecting';
    },
  };
}
