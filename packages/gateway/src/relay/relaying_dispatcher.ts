/**
 * Runs statements locally or through a peer: locally if this proxy is a
 * connection owner of the group, through a connection owner otherwise. A
 * connection owner that has no target also uses peers.
 */
import type {PresentProxy} from '@kelpstep/table-feed';
import type {Milliseconds, Runtime, Task} from '@kelpstep/runtime';
import {errorAnswer} from '@kelpstep/statements';

import type {LocalDispatcher} from '../dispatch';
import {
  DEFAULT_RETRY_AFTER,
  type Dispatch,
  type DispatchResult,
  type Dispatcher,
  refusalAnswer,
} from '../dispatch_types';
import {createAttemptBudget} from '../hedged_attempt';
import {type LoadedPeer, createPeerLoad} from './peer_latency';
import {
  type PeerRank,
  type ProxyPlace,
  nearestFirst,
  roundTripBetween,
} from './peer_order';
import type {RelayClient, RelayOutcome} from './relay_client';

/** Dependencies of a relaying dispatcher. */
export interface RelayingDispatcherOptions {
  readonly runtime: Runtime;
  readonly local: LocalDispatcher;
  readonly client: RelayClient;
  /** Location of this proxy; near peers are preferred. */
  readonly place: ProxyPlace;
  /** True if this proxy is a connection owner of the group. */
  holds(group: string): boolean;
  /** The group's connection owners, without this proxy. */
  peers(group: string): readonly PresentProxy[];
}

/**
 * How long a peer that had no target is not tried again: each peer gets at most
 * four such requests per second and group.
 */
const PAUSE_AFTER_REFUSAL: Milliseconds = 250;

/** Fields of a result without a target. */
const NOT_RUN = {target: '', attempts: 0, via: '', pinned: undefined};

/** Creates a dispatcher that extends the local one. */
export function createRelayingDispatcher(
  options: RelayingDispatcherOptions,
): Dispatcher {
  const {runtime, local, client, place} = options;
  const {timer, random} = runtime;
  const refusedAt = new Map<string, Milliseconds>();
  const load = createPeerLoad();
  const budget = createAttemptBudget();

  /** Separates statements that need the primary from others. */
  function sortOf({route, needsPrimary}: Dispatch): string {
    return `${route.group} ${needsPrimary ? 'primary' : 'any'}`;
  }

  function keyOf({proxy}: PresentProxy, work: Dispatch): string {
    return `${sortOf(work)} ${proxy}`;
  }

  function asLoaded(peer: PresentProxy, work: Dispatch): LoadedPeer {
    const roundTrip = roundTripBetween(place, peer);
    return {group: sortOf(work), proxy: peer.proxy, roundTrip};
  }

  function hasRefused(peer: PresentProxy, work: Dispatch): boolean {
    const at = refusedAt.get(keyOf(peer, work)) ?? -Infinity;
    return timer.now() - at < PAUSE_AFTER_REFUSAL;
  }

  function isUsable({relayAddress}: PresentProxy): boolean {
    return client.isUsable(relayAddress);
  }

  function usablePeers(work: Dispatch): PresentProxy[] {
    const usable = options.peers(work.route.group).filter(isUsable);
    return nearestFirst(random, usable, peer => rankOf(peer, work));
  }

  function rankOf(peer: PresentProxy, work: Dispatch): PeerRank {
    const loaded = asLoaded(peer, work);
    const isSlow = load.isSlow(loaded, timer.now());
    return {roundTrip: loaded.roundTrip, isSlow};
  }

  function peersToAsk(work: Dispatch): PresentProxy[] {
    return usablePeers(work).filter(peer => !hasRefused(peer, work));
  }

  function isLate({arrivedAt, route}: Dispatch): boolean {
    return timer.now() >= arrivedAt + route.timeout;
  }

  function* dispatchTo(
    peer: PresentProxy,
    work: Dispatch,
    mayWait: boolean,
  ): Task<RelayOutcome> {
    // A begin waits for its own connection, which says little about the peer.
    const isMeasured = work.statement.kind !== 'begin';
    const end = isMeasured
      ? load.begin(asLoaded(peer, work), timer.now())
      : undefined;
    const outcome = yield* client.dispatch(peer, work, mayWait);
    end?.(timer.now());
    return outcome;
  }

  /** After a refusal by an overloaded peer, another one may have capacity. */
  function mayAskAnother({answer}: DispatchResult): boolean {
    return answer.error?.name === 'busy' && budget.spend();
  }

  /**
   * The result of the first peer that accepted the request, or the last
   * refusal; undefined if it has not run and no peer refused it.
   */
  function* tryPeers(
    work: Dispatch,
    peers: readonly PresentProxy[],
    mayWait: boolean,
  ): Task<DispatchResult | undefined> {
    let refusal: DispatchResult | undefined;
    budget.earn();
    for (const peer of peers) {
      if (isLate(work)) {
        return refusal;
      }
      const outcome = yield* dispatchTo(peer, work, mayWait);
      if (outcome.kind === 'ended') {
        refusal = outcome.result;
        if (mayAskAnother(refusal)) {
          continue;
        }
        return refusal;
      }
      refusedAt.set(keyOf(peer, work), timer.now());
      if (outcome.kind === 'lost' && work.isWrite) {
        return endUnanswered(peer, 'inDoubt');
      }
      if (outcome.kind === 'lost' && isLate(work)) {
        return endUnanswered(peer, 'timedOut');
      }
    }
    return refusal;
  }

  function endUnanswered(
    {proxy}: PresentProxy,
    name: 'inDoubt' | 'timedOut',
  ): DispatchResult {
    const answer = errorAnswer(name, 'idle');
    return {...NOT_RUN, answer, attempts: 1, reason: 'answer lost', via: proxy};
  }

  function* dispatchHere(work: Dispatch): Task<DispatchResult> {
    const mayAskElsewhere = () =>
      options
        .peers(work.route.group)
        .some(peer => isUsable(peer) && !hasRefused(peer, work));
    for (;;) {
      const result = yield* local.dispatchUnless(work, mayAskElsewhere);
      if (result !== undefined) {
        return result;
      }
      const relayed = yield* tryPeers(work, peersToAsk(work), false);
      if (relayed !== undefined) {
        return relayed;
      }
    }
  }

  /**
   * Tries a connection owner that expects to run the request at once, then one
   * that may wait, as owners do while there is no primary. Opens local
   * connections only if no connection owner is usable, since the targets don't
   * accept enough connections for every proxy.
   */
  function* dispatchThrough(work: Dispatch): Task<DispatchResult> {
    const result =
      (yield* tryPeers(work, peersToAsk(work), false)) ??
      (yield* tryPeers(work, usablePeers(work), true));
    if (result !== undefined) {
      return result;
    }
    return usablePeers(work).length === 0 && !isLate(work)
      ? yield* local.dispatch(work)
      : refuse();
  }

  function refuse(): DispatchResult {
    const reason = 'no other proxy took it';
    const answer = refusalAnswer(reason, DEFAULT_RETRY_AFTER);
    return {...NOT_RUN, answer, reason};
  }

  return {
    dispatch: work =>
      options.holds(work.route.group)
        ? dispatchHere(work)
        : dispatchThrough(work),
  };
}
