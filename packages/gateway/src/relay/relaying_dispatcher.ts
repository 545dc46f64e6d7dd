/**
 * Runs statements locally or through a peer: locally if this proxy is a
 * connection owner of the group, through a connection owner otherwise. A
 * connection owner without an available target tries its peers as well.
 */
import type {ProxyDescriptor} from '@kelpstep/table-feed';
import type {Milliseconds, Runtime, Task} from '@kelpstep/runtime';
import {errorAnswer} from '@kelpstep/statements';

import type {LocalDispatcher} from '../dispatch';
import {
  DEFAULT_RETRY_AFTER_MS,
  type DispatchRequest,
  type DispatchResult,
  type Dispatcher,
  refusalAnswer,
} from '../dispatch_types';
import {createRetryBudget} from '../hedged_attempt';
import {type MeasuredPeer, createPeerLatencyTracker} from './peer_latency';
import {
  type PeerRank,
  type ProxyLocation,
  nearestFirst,
  roundTripBetween,
} from './peer_order';
import type {RelayClient, RelayOutcome} from './relay_client';

export interface RelayingDispatcherOptions {
  readonly runtime: Runtime;
  readonly local: LocalDispatcher;
  readonly client: RelayClient;
  /** Location of this proxy; near peers are preferred. */
  readonly location: ProxyLocation;
  /** True if this proxy is a connection owner of the group. */
  ownsConnections(group: string): boolean;
  /** The group's connection owners, without this proxy. */
  peers(group: string): readonly ProxyDescriptor[];
}

/**
 * Time for which a peer that did not run or answer a request is not tried again
 * for the same workload, except by requests that may wait. A peer without a
 * target thus gets at most four other requests per second and workload from
 * this proxy.
 */
const REFUSAL_BACKOFF_MS: Milliseconds = 250;

/** Default fields of a result for which no target is known. */
const WITHOUT_TARGET = {target: '', attempts: 0, via: '', pinned: undefined};

/** Creates a dispatcher that runs statements by the local one or by peers. */
export function createRelayingDispatcher(
  options: RelayingDispatcherOptions,
): Dispatcher {
  const {runtime, local, client, location} = options;
  const {timer, random} = runtime;
  const refusedAt = new Map<string, Milliseconds>();
  const latency = createPeerLatencyTracker();
  const budget = createRetryBudget();

  /**
   * Name of the request's workload: statements of a group that need the primary
   * are separated from its other statements.
   */
  function workloadOf({route, needsPrimary}: DispatchRequest): string {
    return `${route.group} ${needsPrimary ? 'primary' : 'any'}`;
  }

  function keyOf({proxy}: ProxyDescriptor, request: DispatchRequest): string {
    return `${workloadOf(request)} ${proxy}`;
  }

  function toMeasuredPeer(
    peer: ProxyDescriptor,
    request: DispatchRequest,
  ): MeasuredPeer {
    const roundTrip = roundTripBetween(location, peer);
    return {group: workloadOf(request), proxy: peer.proxy, roundTrip};
  }

  function hasRefusedRecently(
    peer: ProxyDescriptor,
    request: DispatchRequest,
  ): boolean {
    const at = refusedAt.get(keyOf(peer, request)) ?? -Infinity;
    return timer.now() - at < REFUSAL_BACKOFF_MS;
  }

  function isUsable({relayAddress}: ProxyDescriptor): boolean {
    return client.isUsable(relayAddress);
  }

  function usablePeers(request: DispatchRequest): ProxyDescriptor[] {
    const usable = options.peers(request.route.group).filter(isUsable);
    return nearestFirst(random, usable, peer => rankOf(peer, request));
  }

  function rankOf(peer: ProxyDescriptor, request: DispatchRequest): PeerRank {
    const measured = toMeasuredPeer(peer, request);
    const isSlow = latency.isSlow(measured, timer.now());
    return {roundTrip: measured.roundTrip, isSlow};
  }

  function peersToTry(request: DispatchRequest): ProxyDescriptor[] {
    return usablePeers(request).filter(
      peer => !hasRefusedRecently(peer, request),
    );
  }

  function isLate({arrivedAt, route}: DispatchRequest): boolean {
    return timer.now() >= arrivedAt + route.timeout;
  }

  function* dispatchTo(
    peer: ProxyDescriptor,
    request: DispatchRequest,
    mayWait: boolean,
  ): Task<RelayOutcome> {
    // A begin isn't measured: it waits for its own connection, which says
    // little about the peer.
    const isMeasured = request.statement.kind !== 'begin';
    const end = isMeasured
      ? latency.begin(toMeasuredPeer(peer, request), timer.now())
      : undefined;
    const outcome = yield* client.dispatch(peer, request, mayWait);
    end?.(timer.now());
    return outcome;
  }

  /**
   * True if another peer may be tried: the answering peer is overloaded, others
   * may have capacity, and the retry budget allows an attempt.
   */
  function mayTryAnother({answer}: DispatchResult): boolean {
    return answer.error?.name === 'busy' && budget.tryWithdraw();
  }

  /**
   * The result of the first peer that accepted the request, or the last
   * refusal. Undefined if no peer gave a result; the request has then not run,
   * or it is a read whose answer was lost.
   */
  function* tryPeers(
    request: DispatchRequest,
    peers: readonly ProxyDescriptor[],
    mayWait: boolean,
  ): Task<DispatchResult | undefined> {
    let refusal: DispatchResult | undefined;
    budget.deposit();
    for (const peer of peers) {
      if (isLate(request)) {
        return refusal;
      }
      const outcome = yield* dispatchTo(peer, request, mayWait);
      if (outcome.kind === 'ended') {
        refusal = outcome.result;
        if (mayTryAnother(refusal)) {
          continue;
        }
        return refusal;
      }
      refusedAt.set(keyOf(peer, request), timer.now());
      if (outcome.kind === 'lost' && request.isWrite) {
        return unansweredResult(peer, 'inDoubt');
      }
      if (outcome.kind === 'lost' && isLate(request)) {
        return unansweredResult(peer, 'timedOut');
      }
    }
    return refusal;
  }

  function unansweredResult(
    {proxy}: ProxyDescriptor,
    name: 'inDoubt' | 'timedOut',
  ): DispatchResult {
    const answer = errorAnswer(name, 'idle');
    return {
      ...WITHOUT_TARGET,
      answer,
      attempts: 1,
      reason: 'answer lost',
      via: proxy,
    };
  }

  function* dispatchLocally(request: DispatchRequest): Task<DispatchResult> {
    const mayTryPeers = () =>
      options
        .peers(request.route.group)
        .some(peer => isUsable(peer) && !hasRefusedRecently(peer, request));
    for (;;) {
      const result = yield* local.tryDispatch(request, mayTryPeers);
      if (result !== undefined) {
        return result;
      }
      const relayed = yield* tryPeers(request, peersToTry(request), false);
      if (relayed !== undefined) {
        return relayed;
      }
    }
  }

  /**
   * Tries the connection owners, first only for targets that are available at
   * once, then allowing each owner to wait for a target, which is needed while
   * there is no primary. Opens local connections only if no connection owner is
   * usable, since the targets don't accept enough connections for every proxy.
   */
  function* dispatchThroughPeer(
    request: DispatchRequest,
  ): Task<DispatchResult> {
    const result =
      (yield* tryPeers(request, peersToTry(request), false)) ??
      (yield* tryPeers(request, usablePeers(request), true));
    if (result !== undefined) {
      return result;
    }
    return usablePeers(request).length === 0 && !isLate(request)
      ? yield* local.dispatch(request)
      : refuse();
  }

  function refuse(): DispatchResult {
    const reason = 'no other proxy took it';
    const answer = refusalAnswer(reason, DEFAULT_RETRY_AFTER_MS);
    return {...WITHOUT_TARGET, answer, reason};
  }

  return {
    dispatch: request =>
      options.ownsConnections(request.route.group)
        ? dispatchLocally(request)
        : dispatchThroughPeer(request),
  };
}
