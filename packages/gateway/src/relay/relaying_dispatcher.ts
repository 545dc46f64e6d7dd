/**
 * Runs statements here or through another proxy: here if this one holds
 * connections to the group's targets, through a holder otherwise, and through
 * any that reaches a place while this one doesn't.
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

/** What a relaying dispatcher is made of. */
export interface RelayingDispatcherOptions {
  readonly runtime: Runtime;
  readonly local: LocalDispatcher;
  readonly client: RelayClient;
  /** Where this proxy is: near peers are preferred. */
  readonly place: ProxyPlace;
  /** True if this proxy holds connections to the group's targets. */
  holds(group: string): boolean;
  /** Other proxies that hold some. */
  peers(group: string): readonly PresentProxy[];
}

/**
 * A peer that reaches no place is not asked again for so long: at most four
 * questions a second and group to each.
 */
const PAUSE_AFTER_REFUSAL: Milliseconds = 250;

/** Of a result that no target has a part in. */
const NOT_RUN = {target: '', attempts: 0, via: '', pinned: undefined};

/** Creates a dispatcher over the local one. */
export function createRelayingDispatcher(
  options: RelayingDispatcherOptions,
): Dispatcher {
  const {runtime, local, client, place} = options;
  const {timer, random} = runtime;
  const refusedAt = new Map<string, Milliseconds>();
  const load = createPeerLoad();
  const budget = createAttemptBudget();

  /** Reads and writes may find different places. */
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
    // A transaction waits for a connection of its own: that says little of the peer.
    const isMeasured = work.statement.kind !== 'begin';
    const end = isMeasured
      ? load.begin(asLoaded(peer, work), timer.now())
      : undefined;
    const outcome = yield* client.dispatch(peer, work, mayWait);
    end?.(timer.now());
    return outcome;
  }

  /** Others may have room for what one refused; a few may be asked. */
  function mayAskAnother({answer}: DispatchResult): boolean {
    return answer.error?.name === 'busy' && budget.spend();
  }

  /**
   * The result of the first peer that took it, or the last refusal; undefined if
   * it has not run and nobody refused it.
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
   * First to a holder that expects to run it at once; then one that waits, as
   * the others do while there is no primary. Connections of its own are taken
   * only if no holder is there: for each proxy there aren't enough.
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
