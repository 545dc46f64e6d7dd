/**
 * Membership by gossip in the manner of SWIM: each proxy exchanges state with
 * the next two on a ring of hashes and with random others; a proxy that does
 * not answer is suspected and may refute; news travels with every exchange.
 * Views are complete, since responsibility is hashed over all proxies; cost
 * stays bounded because only changes are sent. See docs/decisions.
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
import {MembershipHooks, createKnowledge} from './knowledge';
import {memberKey} from './member_table';
import type {Membership} from './membership';
import {PaceBase, PacePolicy, proportionalPace} from './pace';
import {nextOnRing, randomOthers} from './partners';
import {
  CandidateSet,
  createCandidateSet,
  isPicked,
  onlyFrom,
  pickResponsible,
} from './rendezvous';
import {serveExchanges} from './serve_exchanges';

/** What a membership is made of. */
export interface MembershipOptions {
  readonly runtime: Runtime;
  readonly self: ProxyIdentity;
  /** Peer addresses from the settings. */
  readonly seeds: readonly string[];
  readonly exchange: PeerExchange;
  readonly hooks: MembershipHooks;
  readonly paceBase?: PaceBase;
  readonly pacePolicy?: PacePolicy;
}

/** Membership with what only the wiring uses. */
export interface RunningMembership extends Membership {
  /** Starts to look for peers and to send heartbeats. */
  start(): void;
  /** Settles once a peer's view was taken, or no seed has answered. */
  readonly joined: Future<void>;
  /** Tells the others that this proxy stops; it keeps answering them. */
  leave(): void;
  /** Spreads a change of leadership that this proxy knows first. */
  announceLeadership(leadership: GroupLeadership): void;
  /** Exchanges with some peers soon, for example after a new manifest. */
  spread(): void;
  /** Learns from the platform's list, which lags. */
  noteInstances(instances: readonly ListedInstance[]): void;
  /** True if the platform's list calls a target leaving, as heard lately. */
  isTargetLeaving(target: LeavingTarget): boolean;
  /**
   * A proxy that is not known to be dead, also while it stops; undefined for
   * others.
   */
  find(proxy: string, incarnation: string): ProxyIdentity | undefined;
  /** Serves `peer.exchange` and its short form. */
  serve(handlers: HandlerTable): void;
}

/** The pace of few proxies by default. */
export const DEFAULT_PACE_BASE: PaceBase = {
  interval: 200,
  exchangeTimeout: 300,
  suspicionTime: 400,
};

const FIXED_PARTNERS = 2;
const INTERVAL_JITTER = 0.1;
/** News that comes together is spread together. */
const BURST_DELAY = 5;
/** Suspects are asked by about this many proxies besides their accuser. */
const VERIFIERS = 3;
const DEAD_MEMORY = 300_000;
/** Heartbeats between two looks at addresses where no peer is known. */
const TICKS_PER_DISCOVERY = 5;

/** Creates a membership that knows only this proxy and its seeds. */
export function createMembership(
  options: MembershipOptions,
): RunningMembership {
  const {runtime, self} = options;
  const {timer, random} = runtime;
  const paceBase = options.paceBase ?? DEFAULT_PACE_BASE;
  const pacePolicy = options.pacePolicy ?? proportionalPace;
  const listeners = new Set<() => void>();
  const joined = createDeferred<void>();
  let listedAddresses: readonly string[] = [];
  let live: readonly ProxyIdentity[] | undefined;
  let candidates: CandidateSet | undefined;
  let burstIsDue = false;
  let lastBurstAt = -Infinity;

  const knowledge = createKnowledge({
    runtime,
    self,
    hooks: options.hooks,
    pace,
    onNews: spread,
    onChange: notify,
  });
  const {table, selfKey} = knowledge;
  const exchanges = createExchanges({
    runtime,
    knowledge,
    exchange: options.exchange,
    pace,
  });

  function pace() {
    return pacePolicy(knowledge.table.present().length, paceBase);
  }

  function notify(): void {
    live = undefined;
    candidates = undefined;
    for (const listener of [...listeners]) {
      listener();
    }
  }

  function liveProxies(): readonly ProxyIdentity[] {
    live ??= table
      .present()
      .filter(({update}) => !update.leaving)
      .map(({update}) => update.proxy);
    return live;
  }

  function eligible(dataCentre?: string): CandidateSet {
    candidates ??= createCandidateSet(liveProxies());
    return dataCentre === undefined
      ? candidates
      : onlyFrom(candidates, dataCentre);
  }

  function contactRandom(count: number): void {
    const others = randomOthers(
      table.present(),
      new Set([selfKey]),
      count,
      random,
    );
    others.forEach(exchanges.contact);
  }

  function spread(): void {
    if (!burstIsDue) {
      burstIsDue = true;
      runtime.spawn('spread news', burst());
    }
  }

  function* burst(): Task<void> {
    const gap = lastBurstAt + pace().eagerGap - timer.now();
    yield* sleep(Math.max(gap, random.jitter(BURST_DELAY, 1)));
    burstIsDue = false;
    lastBurstAt = timer.now();
    nextOnRing(table.present(), selfKey, 1).forEach(exchanges.contact);
    contactRandom(pace().eagerRandomPartners);
    verifySuspects();
  }

  /** Lets suspects refute through others than their accuser. */
  function verifySuspects(): void {
    const suspects = table
      .present()
      .filter(({update}) => update.condition === 'suspect');
    const share = VERIFIERS / table.present().length;
    suspects.filter(() => random.fraction() < share).forEach(exchanges.contact);
  }

  /** Addresses where a peer may be that this proxy doesn't know. */
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

  /** Takes the view of the first seed that answers. */
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
    for (let tick = 0; ; tick++) {
      const {interval, ticksPerRandomPartner} = pace();
      yield* sleep(random.jitter(interval, INTERVAL_JITTER));
      nextOnRing(table.present(), selfKey, FIXED_PARTNERS).forEach(
        exchanges.contact,
      );
      if (tick % ticksPerRandomPartner === 0) {
        contactRandom(1);
      }
      if (tick % TICKS_PER_DISCOVERY === 0 || table.present().length === 1) {
        runtime.spawn('discover', discover());
        table.forgetDeadBefore(timer.now() - DEAD_MEMORY);
      }
      if (knowledge.leavingTargets.forgetExpired()) {
        notify();
      }
    }
  }

  return {
    self,
    liveProxies,
    responsibleFor: (name, count, dataCentre) =>
      pickResponsible(name, eligible(dataCentre), count),
    isResponsible: (name, count, dataCentre) =>
      isPicked(name, eligible(dataCentre), count, self),
    onChange(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    start() {
      runtime.spawn('join', join());
      runtime.spawn('send heartbeats', sendHeartbeats());
    },
    joined: joined.future,
    leave: knowledge.leave,
    announceLeadership: knowledge.announceLeadership,
    spread,
    noteInstances(instances) {
      listedAddresses = instances
        .filter(({role, state}) => role === 'proxy' && state === 'live')
        .map(({address}) => address);
      knowledge.noteInstances(instances);
    },
    find: (proxy, incarnation) =>
      table
        .present()
        .map(({update}) => update.proxy)
        .find(
          known => known.proxy === proxy && known.incarnation === incarnation,
        ),
    isTargetLeaving: target => knowledge.leavingTargets.includes(target),
    serve: handlers => serveExchanges(handlers, knowledge, exchanges.hear),
  };
}
