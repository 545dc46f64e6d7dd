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
  createFailure,
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
  TaskHandle,
  createMailbox,
  delay,
  perform,
  race,
  settled,
  settledFuture,
} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import {dialWithin, firstAnswer} from './fresh_connection';
import type {LinkCondition, LossReason, MemberLink} from './member_link';
import type {FailoverTimings} from './timings';

/** What a link is made of. */
export interface MemberLinkOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly timings: FailoverTimings;
  readonly member: Member;
  /** Called after each status and each change of condition. */
  onChange(): void;
}

const NOT_CONNECTED: RequestFailure = {
  kind: 'closed',
  sent: false,
  failure: createFailure('OUTCOME_UNKNOWN', {
    message: 'No control connection.',
    outcome: 'not_run',
  }),
};

/** Jitter of the pauses between reconnections, as share of the pause. */
const RECONNECT_JITTER = 0.3;

/** Opens a control connection and keeps it open until it is closed. */
export function createMemberLink(options: MemberLinkOptions): MemberLink {
  const {runtime, transport, timings, member, onChange} = options;
  const {timer, random} = runtime;
  const suspicions = createMailbox<'suspected'>();
  let condition: LinkCondition = 'connecting';
  let lossReason: LossReason | undefined;
  let current: RpcPeer | undefined;
  let lastStatus: TargetStatus | undefined;
  let statusAt = -Infinity;
  let incarnationSince = timer.now();
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
    peer.request(
      targetSubscribePositions,
      {heartbeatMilliseconds: timings.heartbeat},
      timings.requestTimeout,
    );
    condition = 'open';
    acceptStatus(peer, status);
  }

  /**
   * Follows the stream. Ends with the reason once no connection answers, and
   * with `undefined` if the connection broke.
   */
  function* follow(first: RpcPeer): Task<LossReason | undefined> {
    let peer = first;
    for (;;) {
      const quiet = timer.now() - peer.lastHeardAt();
      const winner = yield* perform(
        race<unknown>([
          settled(peer.closed),
          suspicions.next(),
          delay(timings.silenceLimit - quiet),
        ]),
      );
      if (winner.index === 0) {
        return undefined;
      }
      const suspected = winner.index === 1;
      if (isHeard(peer, suspected)) {
        continue;
      }
      const next = yield* replaceSilent(peer);
      if (next.err) {
        return next.val;
      }
      peer = next.val;
    }
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
        yield* pause(failures);
      }
      failures++;
    }
  }

  function* pause(failures: number): Task<void> {
    const base = Math.min(
      timings.reconnectDelay * 2 ** Math.min(failures, 16),
      timings.reconnectDelayLimit,
    );
    yield* perform(delay(random.jitter(base, RECONNECT_JITTER)));
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

  const task: TaskHandle<never> = runtime.spawn(`link ${member.id}`, run());

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
      if (condition === 'open' && suspicions.size() === 0) {
        suspicions.post('suspected');
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
