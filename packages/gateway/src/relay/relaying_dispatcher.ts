/**
 * Runs statements locally or through a peer: locally if this proxy is a
 * connection owner of the group, through a connection owner otherwise. A
 * connection owner without an available target or connection tries its peers as
 * well.
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
  NO_ROOM,
  latestStart,
  refusalAnswer,
  retryAfterWait,
} from '../dispatch_types';
import type {PlacementOutcome} from '../gateway_events';
import {createRetryBudget} from '../hedged_attempt';
import {LONGEST_IMMEDIATE_WAIT_MS} from '../start_wait';
import {type MeasuredPeer, createPeerLatencyTracker} from './peer_latency';
import {
  type PeerRank,
  type ProxyLocation,
  nearestFirst,
  roundTripBetween,
} from './peer_order';
import {
  type WaitingChoice,
  chooseWaitingPlace,
  createPeerReports,
} from './peer_reports';
import type {RelayClient, RelayOutcome} from './relay_client';

export interface RelayingDispatcherOptions {
  readonly runtime: Runtime;
  readonly local: LocalDispatcher;
  readonly client: RelayClient;
  /** Location of this proxy; near peers are preferred. */
  readonly location: ProxyLocation;
  /** Called once for each statement that was given to peers. */
  onPlacement(outcome: PlacementOutcome): void;
  /** True if this proxy is a connection owner of the group. */
  ownsConnections(group: string): boolean;
  /** The group's connection owners, without this proxy. */
  peers(group: string): readonly ProxyDescriptor[];
}

/**
 * Maximum number of peers that are asked for one request and have no room. More
 * would cost more round trips than the wait at one of them.
 */
const MAXIMUM_REFUSALS = 4;

/** Peers that were tried for a request so far. */
interface Placement {
  asked: number;
  /** Number of peers that reported a wait. */
  refusals: number;
  hasWaited: boolean;
}

/** Default fields of a result for which no target is known. */
const WITHOUT_TARGET = {target: '', attempts: 0, via: '', pinned: undefined};

/** Creates a dispatcher that runs statements by the local one or by peers. */
export function createRelayingDispatcher(
  options: RelayingDispatcherOptions,
): Dispatcher {
  const {runtime, local, client, location} = options;
  const {timer, random} = runtime;
  const reports = createPeerReports();
  const latency = createPeerLatencyTracker();
  const budget = createRetryBudget();

  /**
   * Name of the request's workload: statements of a group that need the primary
   * are separated from its other statements.
   */
  function workloadOf({route, needsPrimary}: DispatchRequest): string {
    return `${route.group} ${needsPrimary ? 'primary' : 'any'}`;
  }

  /**
   * Name of the workload in reports: without an account, single statements may
   * use the control connection, which serves no transaction.
   */
  function reportKeyOf(request: DispatchRequest): string {
    const {account, statement} = request;
    const isSeparate = account === undefined && statement.kind === 'begin';
    return `${workloadOf(request)}${isSeparate ? ' begin' : ''}`;
  }

  function reportOf({proxy}: ProxyDescriptor, request: DispatchRequest) {
    return reports.current(reportKeyOf(request), proxy, timer.now());
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
    return reportOf(peer, request) !== undefined;
  }

  function isUsable({relayAddress}: ProxyDescriptor): boolean {
    return client.isUsable(relayAddress);
  }

  function usablePeers(request: DispatchRequest): ProxyDescriptor[] {
    const usable = options.peers(request.route.group).filter(isUsable);
    return sortNearestFirst(usable, request);
  }

  function sortNearestFirst(
    peers: readonly ProxyDescriptor[],
    request: DispatchRequest,
  ): ProxyDescriptor[] {
    const rank = (peer: ProxyDescriptor) => rankOf(peer, request);
    return nearestFirst(random, peers, rank, request.account);
  }

  function rankOf(peer: ProxyDescriptor, request: DispatchRequest): PeerRank {
    const measured = toMeasuredPeer(peer, request);
    const isSlow = latency.isSlow(measured, timer.now());
    const wait = reportOf(peer, request)?.wait;
    return {roundTrip: measured.roundTrip, isSlow, wait};
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
    placement: Placement,
  ): Task<DispatchResult | undefined> {
    let refusal: DispatchResult | undefined;
    budget.deposit();
    for (const peer of peers) {
      const isExhausted = !mayWait && placement.refusals >= MAXIMUM_REFUSALS;
      if (isLate(request) || isExhausted) {
        return refusal;
      }
      placement.asked += 1;
      placement.hasWaited = mayWait;
      const outcome = yield* dispatchTo(peer, request, mayWait);
      if (outcome.kind === 'ended') {
        refusal = outcome.result;
        if (mayTryAnother(refusal)) {
          continue;
        }
        return refusal;
      }
      recordReport(peer, request, outcome, placement);
      if (outcome.kind === 'lost' && request.isWrite) {
        return unansweredResult(peer, 'inDoubt');
      }
      if (outcome.kind === 'lost' && isLate(request)) {
        return unansweredResult(peer, 'timedOut');
      }
    }
    return refusal;
  }

  function recordReport(
    {proxy}: ProxyDescriptor,
    request: DispatchRequest,
    outcome: RelayOutcome,
    placement: Placement,
  ): void {
    const workload = reportKeyOf(request);
    const now = timer.now();
    const {reason = '', wait} = outcome.kind === 'notRun' ? outcome : {};
    if (reason === NO_ROOM && wait === undefined) {
      reports.recordWithoutWait(workload, proxy, now);
    } else {
      placement.refusals += wait === undefined ? 0 : 1;
      reports.record(workload, proxy, wait, now);
    }
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

  function recordPlacement(
    {asked, hasWaited}: Placement,
    result: DispatchResult,
  ): DispatchResult {
    const placed = asked === 1 ? 'first' : 'other';
    const isRefused = result.via === '';
    options.onPlacement(isRefused ? 'refused' : hasWaited ? 'waited' : placed);
    return result;
  }

  function chooseToWait(
    request: DispatchRequest,
    ownWait: Milliseconds | undefined,
  ): WaitingChoice<ProxyDescriptor> {
    const places = usablePeers(request).map(peer => ({
      peer,
      ...rankOf(peer, request),
    }));
    const timeLeft = latestStart(request) - timer.now();
    return chooseWaitingPlace(places, timeLeft, ownWait);
  }

  /** A peer that had no room, reported no wait, and is not in `tried`. */
  function findWithoutWait(
    request: DispatchRequest,
    tried: ReadonlySet<ProxyDescriptor>,
  ): ProxyDescriptor | undefined {
    const workload = reportKeyOf(request);
    const candidates = options
      .peers(request.route.group)
      .filter(
        peer =>
          isUsable(peer) &&
          !tried.has(peer) &&
          reports.isWithoutWait(workload, peer.proxy, timer.now()),
      );
    return sortNearestFirst(candidates, request)[0];
  }

  /**
   * Sends the request to the peer with the shortest reported wait, or refuses
   * it if it can't start in time and each older peer has refused it as well.
   * Undefined if no peer has reported a wait, or if this proxy has the shortest
   * one.
   */
  function* waitAtPeer(
    request: DispatchRequest,
    placement: Placement,
    ownWait: () => Milliseconds | undefined,
  ): Task<DispatchResult | undefined> {
    const tried = new Set<ProxyDescriptor>();
    for (let count = 0; count < MAXIMUM_REFUSALS; count++) {
      const choice = chooseToWait(request, ownWait());
      const peer =
        choice.kind === 'refused'
          ? findWithoutWait(request, tried)
          : choice.kind === 'peer'
            ? choice.peer
            : undefined;
      if (peer === undefined) {
        return choice.kind === 'refused'
          ? refuse(NO_ROOM, retryAfterWait(random, choice.wait))
          : undefined;
      }
      tried.add(peer);
      const result = yield* tryPeers(request, [peer], true, placement);
      if (result !== undefined) {
        return result;
      }
    }
    return undefined;
  }

  /**
   * True if transactions hold all connections here for longer than it takes to
   * send the request to a peer.
   */
  function hasNoRoom(request: DispatchRequest): boolean {
    return (local.expectedWait(request) ?? 0) > LONGEST_IMMEDIATE_WAIT_MS;
  }

  function* dispatchLocally(request: DispatchRequest): Task<DispatchResult> {
    const mayTryPeers = () =>
      options
        .peers(request.route.group)
        .some(peer => isUsable(peer) && !hasRefusedRecently(peer, request));
    const placement = createPlacement();
    if (hasNoRoom(request)) {
      const ownWait = () => local.expectedWait(request);
      const peers = peersToTry(request);
      const result =
        (yield* tryPeers(request, peers, false, placement)) ??
        (yield* waitAtPeer(request, placement, ownWait));
      if (result !== undefined) {
        return recordPlacement(placement, result);
      }
    }
    for (;;) {
      const result = yield* local.tryDispatch(request, mayTryPeers);
      if (result !== undefined) {
        return result;
      }
      // Each round has its own limit of refusals: with an exhausted one no time
      // would pass until the next round.
      const round = createPlacement();
      const peers = peersToTry(request);
      const relayed = yield* tryPeers(request, peers, false, round);
      if (relayed !== undefined) {
        return recordPlacement(round, relayed);
      }
    }
  }

  /**
   * Tries the connection owners, first only for targets that are available at
   * once, then allowing one to wait: the one with the shortest reported wait,
   * or if none is known, each in turn, which is needed while there is no
   * primary. Opens local connections only if no connection owner is usable,
   * since the targets don't accept enough connections for every proxy.
   */
  function* dispatchThroughPeer(
    request: DispatchRequest,
  ): Task<DispatchResult> {
    const placement = createPlacement();
    const unknown = () => undefined;
    const result =
      (yield* tryPeers(request, peersToTry(request), false, placement)) ??
      (yield* waitAtPeer(request, placement, unknown)) ??
      (yield* tryPeers(request, usablePeers(request), true, placement));
    if (result !== undefined) {
      return recordPlacement(placement, result);
    }
    return usablePeers(request).length === 0 && !isLate(request)
      ? yield* local.dispatch(request)
      : recordPlacement(placement, refuseUnplaced(request));
  }

  function refuseUnplaced(request: DispatchRequest): DispatchResult {
    const choice = chooseToWait(request, undefined);
    return choice.kind === 'refused'
      ? refuse(NO_ROOM, retryAfterWait(random, choice.wait))
      : refuse('no other proxy took it', DEFAULT_RETRY_AFTER_MS);
  }

  function refuse(reason: string, retryAfter: Milliseconds): DispatchResult {
    const answer = refusalAnswer(reason, retryAfter);
    return {...WITHOUT_TARGET, answer, reason};
  }

  return {
    dispatch: request =>
      options.ownsConnections(request.route.group)
        ? dispatchLocally(request)
        : dispatchThroughPeer(request),
  };
}

function createPlacement(): Placement {
  return {asked: 0, refusals: 0, hasWaited: false};
}
