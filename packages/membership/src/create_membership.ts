/**
 * SWIM-style gossip membership. Each proxy exchanges state with its next two
 * proxies on a ring of hashes and with random others. A proxy that does not
 * answer is suspected and may refute the suspicion. Every exchange carries
 * updates. Views are complete because responsibility is hashed over all
 * proxies; the cost stays bounded because only changes are sent. See
 * docs/decisions.
 */
import {
  GroupLeadership,
  LeavingTarget,
  ListedInstance,
  PeerState,
  ProxyIdentity,
} from '@kelpstep/protocol';
import type {HandlerTable} from '@kelpstep/rpc';
import {Future, Runtime, Task, createDeferred, sleep} from '@kelpstep/runtime';
import {PeerExchange, createExchanges} from './exchanges';
import {randomPeers, ringSuccessors} from './gossip_peers';
import {MembershipHooks, createGossipState} from './gossip_state';
import {
  BaseGossipTiming,
  GossipTimingPolicy,
  proportionalTiming,
} from './gossip_timing';
import {memberKey} from './member_table';
import type {Membership} from './membership';
import {
  CandidateSet,
  createCandidateSet,
  isPicked,
  onlyFrom,
  pickResponsible,
} from './rendezvous';
import {serveExchanges} from './serve_exchanges';

/**
 * Settings of a membership. Without `baseTiming`, `DEFAULT_BASE_TIMING` applies.
 */
export interface MembershipOptions {
  readonly runtime: Runtime;
  readonly self: ProxyIdentity;
  /** Peer addresses from the settings. */
  readonly seeds: readonly string[];
  readonly exchange: PeerExchange;
  readonly hooks: MembershipHooks;
  readonly baseTiming?: BaseGossipTiming;
  readonly timingPolicy?: GossipTimingPolicy;
}

/** Membership with the operations that only the proxy's wiring uses. */
export interface RunningMembership extends Membership {
  /** Starts discovering peers and sending heartbeats. */
  start(): void;
  /** Settles once a peer's view was received or no seed has answered. */
  readonly joined: Future<void>;
  /** Announces that this proxy stops; it keeps answering its peers. */
  leave(): void;
  /** Distributes a change of leadership that originates at this proxy. */
  announceLeadership(leadership: GroupLeadership): void;
  /**
   * Starts exchanges with some peers soon, for example after a new manifest.
   */
  triggerExchanges(): void;
  /** Applies the platform's list of instances, which may be out of date. */
  applyInstanceList(instances: readonly ListedInstance[]): void;
  /**
   * True if the platform's list recently showed a target with this id and
   * address as leaving.
   */
  isTargetLeaving(target: LeavingTarget): boolean;
  /**
   * Returns a known proxy that is not dead, even if it is stopping; otherwise
   * undefined.
   */
  find(proxy: string, incarnation: string): ProxyIdentity | undefined;
  /** Registers handlers for `peer.exchange` and its short form. */
  serve(handlers: HandlerTable): void;
}

/** Default timing of a small cluster. */
export const DEFAULT_BASE_TIMING: BaseGossipTiming = {
  interval: 200,
  exchangeTimeout: 300,
  suspicionTime: 400,
};

const RING_PEER_COUNT = 2;
const INTERVAL_JITTER_RATIO = 0.1;
/**
 * Delay in which updates that arrive together are batched into one burst of
 * exchanges.
 */
const BURST_DELAY_MS = 5;
/** Average number of additional proxies that verify a suspicion. */
const VERIFIER_COUNT = 3;
const DEAD_RETENTION_MS = 300_000;
/** Heartbeats between two attempts to discover peers at unknown addresses. */
const HEARTBEATS_PER_DISCOVERY = 5;

/** Creates a stopped membership that knows only this proxy and its seeds. */
export function createMembership(
  options: MembershipOptions,
): RunningMembership {
  const {runtime, self} = options;
  const {timer, random} = runtime;
  const baseTiming = options.baseTiming ?? DEFAULT_BASE_TIMING;
  const timingPolicy = options.timingPolicy ?? proportionalTiming;
  const listeners = new Set<() => void>();
  const joined = createDeferred<void>();
  let listedAddresses: readonly string[] = [];
  let cachedLiveProxies: readonly ProxyIdentity[] | undefined;
  let candidates: CandidateSet | undefined;
  let isBurstPending = false;
  let lastBurstAt = -Infinity;

  const gossipState = createGossipState({
    runtime,
    self,
    hooks: options.hooks,
    timing,
    onUpdates: scheduleBurst,
    onChange: notifyListeners,
  });
  const {table, selfKey} = gossipState;
  const exchanges = createExchanges({
    runtime,
    gossipState,
    exchange: options.exchange,
    timing,
  });

  function timing() {
    return timingPolicy(gossipState.table.present().length, baseTiming);
  }

  function notifyListeners(): void {
    cachedLiveProxies = undefined;
    candidates = undefined;
    for (const listener of [...listeners]) {
      listener();
    }
  }

  function liveProxies(): readonly ProxyIdentity[] {
    cachedLiveProxies ??= table
      .present()
      .filter(({update}) => !update.leaving)
      .map(({update}) => update.proxy);
    return cachedLiveProxies;
  }

  function candidatesFrom(dataCentre?: string): CandidateSet {
    candidates ??= createCandidateSet(liveProxies());
    return dataCentre === undefined
      ? candidates
      : onlyFrom(candidates, dataCentre);
  }

  function exchangeWithRandomPeers(count: number): void {
    const others = randomPeers(
      table.present(),
      new Set([selfKey]),
      count,
      random,
    );
    others.forEach(exchanges.startExchange);
  }

  function scheduleBurst(): void {
    if (!isBurstPending) {
      isBurstPending = true;
      runtime.spawn('spread news', burst());
    }
  }

  function* burst(): Task<void> {
    const delay = lastBurstAt + timing().minimumBurstInterval - timer.now();
    yield* sleep(Math.max(delay, random.jitter(BURST_DELAY_MS, 1)));
    isBurstPending = false;
    lastBurstAt = timer.now();
    ringSuccessors(table.present(), selfKey, 1).forEach(
      exchanges.startExchange,
    );
    exchangeWithRandomPeers(timing().randomPeersPerBurst);
    verifySuspects();
  }

  /**
   * Starts an exchange with each suspect at such a probability that on average
   * `VERIFIER_COUNT` proxies do so. A suspect can thus refute although the
   * proxy that suspects it doesn't reach it.
   */
  function verifySuspects(): void {
    const suspects = table
      .present()
      .filter(({update}) => update.condition === 'suspect');
    const probability = VERIFIER_COUNT / table.present().length;
    suspects
      .filter(() => random.fraction() < probability)
      .forEach(exchanges.startExchange);
  }

  /** Addresses at which there may be an unknown peer. */
  function unknownAddresses(): string[] {
    const known = new Set(
      table.present().map(({update}) => update.proxy.address),
    );
    const all = [
      ...options.seeds,
      ...listedAddresses,
      ...table.dead().map(({update}) => update.proxy.address),
    ];
    return [...new Set(all)].filter(address => !known.has(address));
  }

  function* discover(): Task<PeerState | undefined> {
    const addresses = unknownAddresses();
    return addresses.length === 0
      ? undefined
      : yield* exchanges.exchangeWith({address: random.pick(addresses)});
  }

  /** Requests the view of the first seed that answers. */
  function* join(): Task<void> {
    for (const address of unknownAddresses()) {
      const reply = yield* exchanges.exchangeWith({address});
      if (reply !== undefined && memberKey(reply.from) !== selfKey) {
        yield* exchanges.compareViews(address);
        break;
      }
    }
    joined.settle(undefined);
  }

  function* sendHeartbeats(): Task<void> {
    for (let count = 0; ; count++) {
      const {interval, heartbeatsPerRandomPeer} = timing();
      yield* sleep(random.jitter(interval, INTERVAL_JITTER_RATIO));
      ringSuccessors(table.present(), selfKey, RING_PEER_COUNT).forEach(
        exchanges.startExchange,
      );
      if (count % heartbeatsPerRandomPeer === 0) {
        exchangeWithRandomPeers(1);
      }
      if (
        count % HEARTBEATS_PER_DISCOVERY === 0 ||
        table.present().length === 1
      ) {
        runtime.spawn('discover', discover());
        table.forgetDeadBefore(timer.now() - DEAD_RETENTION_MS);
      }
      if (gossipState.leavingTargets.forgetExpired()) {
        notifyListeners();
      }
    }
  }

  return {
    self,
    liveProxies,
    responsibleFor: (name, count, dataCentre) =>
      pickResponsible(name, candidatesFrom(dataCentre), count),
    isResponsible: (name, count, dataCentre) =>
      isPicked(name, candidatesFrom(dataCentre), count, self),
    onChange(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    start() {
      runtime.spawn('join', join());
      runtime.spawn('send heartbeats', sendHeartbeats());
    },
    joined: joined.future,
    leave: gossipState.leave,
    announceLeadership: gossipState.announceLeadership,
    triggerExchanges: scheduleBurst,
    applyInstanceList(instances) {
      listedAddresses = instances
        .filter(({role, state}) => role === 'proxy' && state === 'live')
        .map(({address}) => address);
      gossipState.applyInstanceList(instances);
    },
    find: (proxy, incarnation) =>
      table
        .present()
        .map(({update}) => update.proxy)
        .find(
          known => known.proxy === proxy && known.incarnation === incarnation,
        ),
    isTargetLeaving: target => gossipState.leavingTargets.includes(target),
    serve: handlers => serveExchanges(handlers, gossipState, exchanges.receive),
  };
}
