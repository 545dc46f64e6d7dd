/**
 * What a proxy knows of the others and tells them: builds the states that it
 * sends and learns from those that it hears. Does no exchange by itself.
 */
import type {
  GroupLeadership,
  LeavingTarget,
  ListedInstance,
  PeerState,
  PeerUpdate,
  ProxyIdentity,
} from '@kelpstep/protocol';
import type {Runtime} from '@kelpstep/runtime';

import {createGossipQueue} from './gossip_queue';
import {LeavingTargets, createLeavingTargets} from './leaving_targets';
import {
  MemberEntry,
  MemberTable,
  createMemberTable,
  memberKey,
} from './member_table';
import type {Pace} from './pace';
import {Suspicions, createSuspicions} from './suspicion';

/** What the rest of the proxy tells its peers and hears from them. */
export interface MembershipHooks {
  /** True once the proxy serves callers. */
  readonly ready: () => boolean;
  /** Version in force; 0 without one. */
  readonly manifestVersion: () => number;
  readonly heardManifest: (version: number, from: ProxyIdentity) => void;
  /** Takes a leadership; true if it is news that is to be passed on. */
  readonly heardLeadership: (leadership: GroupLeadership) => boolean;
}

/** The partner of an exchange, as far as it is known. */
export interface Partner {
  readonly address: string;
  readonly key?: string;
}

/** What a state is to contain besides what it always does. */
export interface StateExtent {
  /** News that the partner has just told. */
  readonly heard?: PeerState;
  /** Asks for all that the partner knows otherwise. */
  readonly askDifferences?: boolean;
}

/** The knowledge of one proxy. */
export interface Knowledge {
  readonly selfKey: string;
  readonly table: MemberTable;
  readonly suspicions: Suspicions;
  readonly leavingTargets: LeavingTargets;
  /** Builds the state to send to a partner. */
  describe(partner: Partner, extent?: StateExtent): PeerState;
  /** Learns from a state that came directly from its sender. */
  hear(state: PeerState): void;
  /** Another process was found at the address of an entry. */
  replaced(key: string): void;
  isLeaving(): boolean;
  /** Tells all that this proxy stops. */
  leave(): void;
  announceLeadership(leadership: GroupLeadership): void;
  /** Learns what the platform's list says of instances that it names. */
  noteInstances(instances: readonly ListedInstance[]): void;
}

/** What knowledge is made of. */
export interface KnowledgeOptions {
  readonly runtime: Runtime;
  readonly self: ProxyIdentity;
  readonly hooks: MembershipHooks;
  readonly pace: () => Pace;
  /** Called when there is something to spread at once. */
  readonly onNews: () => void;
  /** Called when the live proxies or the leaving targets changed. */
  readonly onChange: () => void;
}

const NEWS_PER_MESSAGE = 16;
/** Two proxies with differing views send each other at most this much. */
const DIFFERENCES_PER_MESSAGE = 128;
const NEWS_LIFETIME = 15_000;
/** Beyond log2 of the proxies, for messages that are lost or come twice. */
const SPARE_TRANSMISSIONS = 2;

/** Creates the knowledge of a proxy that knows only itself. */
export function createKnowledge(options: KnowledgeOptions): Knowledge {
  const {runtime, self, hooks, pace, onNews, onChange} = options;
  const {timer} = runtime;
  const table = createMemberTable();
  const selfKey = memberKey(self);
  const queueOptions = {
    timer,
    itemsPerMessage: NEWS_PER_MESSAGE,
    transmissions: () =>
      Math.ceil(Math.log2(table.present().length + 1)) + SPARE_TRANSMISSIONS,
    lifetime: NEWS_LIFETIME,
  };
  const updates = createGossipQueue<PeerUpdate>(queueOptions);
  const leaderships = createGossipQueue<GroupLeadership>(queueOptions);
  const targets = createGossipQueue<LeavingTarget>(queueOptions);
  const leavingTargets = createLeavingTargets(timer);
  const suspicions = createSuspicions({runtime, table, pace, onChanged});
  let own: PeerUpdate = {
    proxy: self,
    revision: 0,
    condition: 'alive',
    leaving: false,
  };
  table.merge(own, timer.now());

  function onChanged(entry: MemberEntry): void {
    updates.add(entry.key, entry.update);
    if (entry.update.condition === 'suspect') {
      suspicions.watch(entry);
    } else {
      onChange();
    }
    onNews();
  }

  function learn(update: PeerUpdate): void {
    if (memberKey(update.proxy) === selfKey) {
      defend(update);
      return;
    }
    const entry = table.merge(update, timer.now());
    if (entry !== undefined) {
      onChanged(entry);
    }
  }

  /** Refutes what others believe of this proxy, unless it is true. */
  function defend(update: PeerUpdate): void {
    const isRefutable =
      update.condition !== 'alive' && update.revision >= own.revision;
    const leaving = own.leaving || update.leaving;
    if (isRefutable || leaving !== own.leaving) {
      const revision = Math.max(own.revision, update.revision) + 1;
      revise({...own, revision, leaving});
    }
  }

  function revise(update: PeerUpdate): void {
    own = update;
    const entry = table.merge(own, timer.now());
    if (entry !== undefined) {
      onChanged(entry);
    }
  }

  /** Lets the partner refute what is believed of it, or learn that it leaves. */
  function beliefsAbout({address, key}: Partner): PeerUpdate[] {
    const entry = key === undefined ? undefined : table.get(key);
    const entries =
      entry === undefined
        ? table.dead().filter(({update}) => update.proxy.address === address)
        : [entry];
    return entries
      .map(({update}) => update)
      .filter(({condition, leaving}) => condition !== 'alive' || leaving);
  }

  function updatesFor(partner: Partner, heard?: PeerState): PeerUpdate[] {
    const known = heard?.updates?.map(({proxy}) => memberKey(proxy)) ?? [];
    const told = [
      ...beliefsAbout(partner),
      ...updates.take(new Set([...known, partner.key ?? ''])),
    ];
    return heard?.buckets === undefined
      ? told
      : [
          ...told,
          ...table.differingFrom(heard.buckets, DIFFERENCES_PER_MESSAGE),
        ];
  }

  function describe(partner: Partner, extent: StateExtent = {}): PeerState {
    const {heard, askDifferences} = extent;
    const toldUpdates = updatesFor(partner, heard);
    const knownGroups = heard?.leaderships.map(({group}) => group);
    const toldTargets = targets.take();
    const unchangedFor = Math.round(timer.now() - table.changedAt());
    return {
      from: self,
      ready: hooks.ready(),
      manifestVersion: hooks.manifestVersion(),
      leaderships: leaderships.take(new Set(knownGroups)),
      proxies: [],
      revision: own.revision,
      ...(own.leaving ? {leaving: true} : {}),
      ...(toldUpdates.length > 0 ? {updates: toldUpdates} : {}),
      ...(toldTargets.length > 0 ? {leavingTargets: toldTargets} : {}),
      view: {checksum: table.checksum(), unchangedFor},
      ...(askDifferences ? {buckets: table.bucketChecksums()} : {}),
    };
  }

  /** A process at the address of another has taken its place. */
  function retirePredecessors(from: ProxyIdentity, key: string): void {
    for (const entry of table.present()) {
      const {address} = entry.update.proxy;
      if (address === from.address && entry.key !== key) {
        replaced(entry.key);
      }
    }
  }

  function replaced(key: string): void {
    const entry = table.get(key);
    if (entry !== undefined && key !== selfKey) {
      learn({...entry.update, condition: 'dead'});
    }
  }

  function hear(state: PeerState): void {
    const key = memberKey(state.from);
    if (key === selfKey) {
      return;
    }
    suspicions.heardFrom(key);
    if (table.get(key) === undefined) {
      retirePredecessors(state.from, key);
    }
    learn({
      proxy: state.from,
      revision: state.revision ?? 0,
      condition: 'alive',
      leaving: state.leaving ?? false,
    });
    state.updates?.forEach(learn);
    state.leaderships.forEach(hearLeadership);
    state.leavingTargets?.forEach(hearLeavingTarget);
    hooks.heardManifest(state.manifestVersion, state.from);
  }

  function hearLeadership(leadership: GroupLeadership): void {
    if (hooks.heardLeadership(leadership)) {
      announceLeadership(leadership);
    }
  }

  function announceLeadership(leadership: GroupLeadership): void {
    leaderships.add(leadership.group, leadership);
    onNews();
  }

  function hearLeavingTarget(target: LeavingTarget): void {
    if (leavingTargets.note(target)) {
      targets.add(`${target.id} ${target.address}`, target);
      onChange();
      onNews();
    }
  }

  function noteInstances(instances: readonly ListedInstance[]): void {
    const leaving = instances.filter(({state}) => state === 'leaving');
    const leavingProxies = new Set<string>();
    for (const {role, id, address} of leaving) {
      if (role === 'target') {
        hearLeavingTarget({id, address});
      } else {
        leavingProxies.add(`${id} ${address}`);
      }
    }
    // The list lags: a process with the same id elsewhere isn't meant.
    for (const {update} of table.present()) {
      const {proxy, address} = update.proxy;
      if (leavingProxies.has(`${proxy} ${address}`)) {
        learn({...update, leaving: true});
      }
    }
  }

  return {
    selfKey,
    table,
    suspicions,
    leavingTargets,
    describe,
    hear,
    replaced,
    isLeaving: () => own.leaving,
    leave() {
      revise({...own, revision: own.revision + 1, leaving: true});
    },
    announceLeadership,
    noteInstances,
  };
}
