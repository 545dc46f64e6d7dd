/** State exchanges with other proxies and the comparison of views. */
import type {Failure, PeerState} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  waitWithTimeout,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {GossipPeer, GossipState} from './gossip_state';
import type {GossipTiming} from './gossip_timing';
import {MemberEntry, memberKey} from './member_table';

/** Sends a state to the peer at an address and returns that peer's state. */
export type PeerExchange = (
  address: string,
  state: PeerState,
) => Future<Result<PeerState, Failure>>;

/** Sends this proxy's gossip state to its peers and merges their states. */
export interface Exchanges {
  /**
   * Exchanges state with a peer and returns its reply; undefined if there is
   * none or another exchange with the address is in progress.
   */
  exchangeWith(
    peer: GossipPeer,
    requestDifferences?: boolean,
  ): Task<PeerState | undefined>;
  /** Starts an exchange with a known proxy without waiting for the reply. */
  startExchange(entry: MemberEntry): void;
  /** Merges a state; `address` is where differing entries can be requested. */
  receive(state: PeerState, address: string): void;
  /**
   * Requests differing entries from a peer until the views are equal, a reply
   * changes nothing or is missing, or the limit of rounds is reached.
   */
  compareViews(address: string): Task<void>;
}

/**
 * `exchange` sends a state to an address; `timing` is read for each exchange.
 */
export interface ExchangesOptions {
  readonly runtime: Runtime;
  readonly gossipState: GossipState;
  readonly exchange: PeerExchange;
  readonly timing: () => GossipTiming;
}

/** Heartbeat intervals without a change before differing views are compared. */
const STABLE_INTERVAL_COUNT = 3;
const MAXIMUM_COMPARISON_ROUNDS = 200;
/**
 * A wait longer than requested by this ratio means that the process was paused.
 */
const PAUSE_DETECTION_RATIO = 1.5;

/** Creates exchanges, of which at most one per address is in progress. */
export function createExchanges(options: ExchangesOptions): Exchanges {
  const {runtime, gossipState, exchange, timing} = options;
  const {timer} = runtime;
  const {table, suspicions} = gossipState;
  const inProgress = new Set<string>();
  let isComparing = false;
  let comparedAt: Milliseconds = -Infinity;

  function* exchangeWith(
    peer: GossipPeer,
    requestDifferences = false,
  ): Task<PeerState | undefined> {
    const {address, key} = peer;
    if (inProgress.has(address)) {
      return undefined;
    }
    inProgress.add(address);
    try {
      const {exchangeTimeout} = timing();
      const startedAt = timer.now();
      const state = gossipState.describe(peer, {requestDifferences});
      const reply = yield* waitWithTimeout(
        exchange(address, state),
        exchangeTimeout,
      );
      const elapsed = timer.now() - startedAt;
      if (reply?.ok) {
        receiveReply(peer, reply.val);
        return reply.val;
      }
      // After a pause of this process, received replies may not have been read
      // yet.
      if (
        key !== undefined &&
        elapsed <= exchangeTimeout * PAUSE_DETECTION_RATIO
      ) {
        suspicions.reportUnanswered(key);
      }
      return undefined;
    } finally {
      inProgress.delete(address);
    }
  }

  function receiveReply({key, address}: GossipPeer, state: PeerState): void {
    if (key !== undefined && key !== memberKey(state.from)) {
      gossipState.markReplaced(key);
    }
    receive(state, address);
  }

  function receive(state: PeerState, address: string): void {
    gossipState.receive(state);
    compareIfStable(state, address);
  }

  /** Compares views if they differ although neither has changed recently. */
  function compareIfStable({view}: PeerState, address: string): void {
    const stableTime = STABLE_INTERVAL_COUNT * timing().interval;
    const now = timer.now();
    const differs =
      view !== undefined &&
      view.checksum !== table.checksum() &&
      view.unchangedFor >= stableTime &&
      now - table.changedAt() >= stableTime;
    if (differs && !isComparing && now - comparedAt >= stableTime) {
      runtime.spawn('compare views', compareViews(address));
    }
  }

  function* compareViews(address: string): Task<void> {
    isComparing = true;
    for (let round = 0; round < MAXIMUM_COMPARISON_ROUNDS; round++) {
      const before = table.checksum();
      const reply = yield* exchangeWith({address}, true);
      const isDone =
        reply === undefined ||
        reply.view?.checksum === table.checksum() ||
        before === table.checksum();
      if (isDone) {
        break;
      }
    }
    comparedAt = timer.now();
    isComparing = false;
  }

  function startExchange(entry: MemberEntry): void {
    const {address} = entry.update.proxy;
    runtime.spawn('exchange', exchangeWith({address, key: entry.key}));
  }

  return {exchangeWith, startExchange, receive, compareViews};
}
