/**
 * Gossip state of a proxy: builds the states that it sends and merges the
 * states that it receives, without performing exchanges.
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
import type {GossipTiming} from './gossip_timing';
import {LeavingTargets, createLeavingTargets} from './leaving_targets';
import {
  MemberEntry,
  MemberTable,
  createMemberTable,
  memberKey,
} from './member_table';
import {Suspicions, createSuspicions} from './suspicion';

/** Connects gossip to the state of the rest of the proxy. */
export interface MembershipHooks {
  /** True once the proxy serves callers. */
  readonly ready: () => boolean;
  /** Version of the active manifest; 0 without one. */
  readonly manifestVersion: () => number;
  readonly onManifestVersion: (version: number, from: ProxyIdentity) => void;
  /** Merges a leadership; returns true if it is new and must be forwarded. */
  readonly onLeadership: (leadership: GroupLeadership) => boolean;
}

/** The peer of an exchange; `key` is undefined while its process is unknown. */
export interface GossipPeer {
  readonly address: string;
  readonly key?: string;
}

/** Optional contents of a state. */
export interface StateContents {
  /**
   * State that this one replies to: updates that it contains are left out, and
   * entries that differ from its buckets are included.
   */
  readonly received?: PeerState;
  /** Requests all entries that differ in the peer's view. */
  readonly requestDifferences?: boolean;
}

/**
 * Known proxies and leaving targets, and the updates that are still to be sent.
 */
export interface GossipState {
  readonly selfKey: string;
  readonly table: MemberTable;
  readonly suspicions: Suspicions;
  readonly leavingTargets: LeavingTargets;
  /** Builds the state to send to a peer. */
  describe(peer: GossipPeer, contents?: StateContents): PeerState;
  /** Merges a state received directly from its sender. */
  receive(state: PeerState): void;
  /** Marks an entry as dead because another process uses its address. */
  markReplaced(key: string): void;
  isLeaving(): boolean;
  /** Announces to all peers that this proxy stops. */
  leave(): void;
  announceLeadership(leadership: GroupLeadership): void;
  /** Applies leaving instances of the platform's list. */
  applyInstanceList(instances: readonly ListedInstance[]): void;
}

/** The listeners are called synchronously after a change. */
export interface GossipStateOptions {
  readonly runtime: Runtime;
  readonly self: ProxyIdentity;
  readonly hooks: MembershipHooks;
  readonly timing: () => GossipTiming;
  /** Called when there are updates to distribute immediately. */
  readonly onUpdates: () => void;
  /** Called when the live proxies or the leaving targets may have changed. */
  readonly onChange: () => void;
}

const UPDATES_PER_MESSAGE = 16;
/** Limits the entries that a proxy sends to a peer with a differing view. */
const DIFFERENCES_PER_MESSAGE = 128;
const UPDATE_LIFETIME_MS = 15_000;
/**
 * Transmissions of an update beyond log2 of the proxy count, which compensate
 * for lost and duplicate messages.
 */
const EXTRA_TRANSMISSION_COUNT = 2;

/** Creates the gossip state of a proxy that knows only itself. */
export function createGossipState(options: GossipStateOptions): GossipState {
  const {runtime, self, hooks, timing, onUpdates, onChange} = options;
  const {timer} = runtime;
  const table = createMemberTable();
  const selfKey = memberKey(self);
  const queueOptions = {
    timer,
    itemsPerMessage: UPDATES_PER_MESSAGE,
    transmissions: () =>
      Math.ceil(Math.log2(table.present().length + 1)) +
      EXTRA_TRANSMISSION_COUNT,
    lifetime: UPDATE_LIFETIME_MS,
  };
  const updates = createGossipQueue<PeerUpdate>(queueOptions);
  const leaderships = createGossipQueue<GroupLeadership>(queueOptions);
  const targets = createGossipQueue<LeavingTarget>(queueOptions);
  const leavingTargets = createLeavingTargets(timer);
  const suspicions = createSuspicions({runtime, table, timing, onChanged});
  let ownUpdate: PeerUpdate = {
    proxy: self,
    revision: 0,
    condition: 'alive',
    leaving: false,
  };
  table.merge(ownUpdate, timer.now());

  function onChanged(entry: MemberEntry): void {
    updates.add(entry.key, entry.update);
    if (entry.update.condition === 'suspect') {
      suspicions.startExpiry(entry);
    } else {
      onChange();
    }
    onUpdates();
  }

  function mergeUpdate(update: PeerUpdate): void {
    if (memberKey(update.proxy) === selfKey) {
      refute(update);
      return;
    }
    const entry = table.merge(update, timer.now());
    if (entry !== undefined) {
      onChanged(entry);
    }
  }

  /**
   * Refutes a claim that this proxy is not alive, and adopts that it is
   * leaving.
   */
  function refute(update: PeerUpdate): void {
    const isRefutable =
      update.condition !== 'alive' && update.revision >= ownUpdate.revision;
    const leaving = ownUpdate.leaving || update.leaving;
    if (isRefutable || leaving !== ownUpdate.leaving) {
      const revision = Math.max(ownUpdate.revision, update.revision) + 1;
      updateSelf({...ownUpdate, revision, leaving});
    }
  }

  function updateSelf(update: PeerUpdate): void {
    ownUpdate = update;
    const entry = table.merge(ownUpdate, timer.now());
    if (entry !== undefined) {
      onChanged(entry);
    }
  }

  /**
   * Returns the updates that call the peer suspect, dead or leaving, so that
   * the peer can refute them or learn that it is leaving.
   */
  function claimsAbout({address, key}: GossipPeer): PeerUpdate[] {
    const entry = key === undefined ? undefined : table.get(key);
    const entries =
      entry === undefined
        ? table.dead().filter(({update}) => update.proxy.address === address)
        : [entry];
    return entries
      .map(({update}) => update)
      .filter(({condition, leaving}) => condition !== 'alive' || leaving);
  }

  function updatesFor(peer: GossipPeer, received?: PeerState): PeerUpdate[] {
    const known = received?.updates?.map(({proxy}) => memberKey(proxy)) ?? [];
    const selected = [
      ...claimsAbout(peer),
      ...updates.take(new Set([...known, peer.key ?? ''])),
    ];
    return received?.buckets === undefined
      ? selected
      : [
          ...selected,
          ...table.differingFrom(received.buckets, DIFFERENCES_PER_MESSAGE),
        ];
  }

  function describe(peer: GossipPeer, contents: StateContents = {}): PeerState {
    const {received, requestDifferences} = contents;
    const selectedUpdates = updatesFor(peer, received);
    const knownGroups = received?.leaderships.map(({group}) => group);
    const selectedTargets = targets.take();
    const unchangedFor = Math.round(timer.now() - table.changedAt());
    return {
      from: self,
      ready: hooks.ready(),
      manifestVersion: hooks.manifestVersion(),
      leaderships: leaderships.take(new Set(knownGroups)),
      proxies: [],
      revision: ownUpdate.revision,
      ...(ownUpdate.leaving ? {leaving: true} : {}),
      ...(selectedUpdates.length > 0 ? {updates: selectedUpdates} : {}),
      ...(selectedTargets.length > 0 ? {leavingTargets: selectedTargets} : {}),
      view: {checksum: table.checksum(), unchangedFor},
      ...(requestDifferences ? {buckets: table.bucketChecksums()} : {}),
    };
  }

  /** Marks other entries with the address of a new process as dead. */
  function markPredecessorsDead(from: ProxyIdentity, key: string): void {
    for (const entry of table.present()) {
      const {address} = entry.update.proxy;
      if (address === from.address && entry.key !== key) {
        markReplaced(entry.key);
      }
    }
  }

  function markReplaced(key: string): void {
    const entry = table.get(key);
    if (entry !== undefined && key !== selfKey) {
      mergeUpdate({...entry.update, condition: 'dead'});
    }
  }

  function receive(state: PeerState): void {
    const key = memberKey(state.from);
    if (key === selfKey) {
      return;
    }
    suspicions.recordContact(key);
    if (table.get(key) === undefined) {
      markPredecessorsDead(state.from, key);
    }
    mergeUpdate({
      proxy: state.from,
      revision: state.revision ?? 0,
      condition: 'alive',
      leaving: state.leaving ?? false,
    });
    state.updates?.forEach(mergeUpdate);
    state.leaderships.forEach(receiveLeadership);
    state.leavingTargets?.forEach(receiveLeavingTarget);
    hooks.onManifestVersion(state.manifestVersion, state.from);
  }

  function receiveLeadership(leadership: GroupLeadership): void {
    if (hooks.onLeadership(leadership)) {
      announceLeadership(leadership);
    }
  }

  function announceLeadership(leadership: GroupLeadership): void {
    leaderships.add(leadership.group, leadership);
    onUpdates();
  }

  function receiveLeavingTarget(target: LeavingTarget): void {
    if (leavingTargets.addOrRefresh(target)) {
      targets.add(`${target.id} ${target.address}`, target);
      onChange();
      onUpdates();
    }
  }

  function applyInstanceList(instances: readonly ListedInstance[]): void {
    const leaving = instances.filter(({state}) => state === 'leaving');
    const leavingProxies = new Set<string>();
    for (const {role, id, address} of leaving) {
      if (role === 'target') {
        receiveLeavingTarget({id, address});
      } else {
        leavingProxies.add(`${id} ${address}`);
      }
    }
    // The list may be out of date: ignore a process with the same id at another
    // address.
    for (const {update} of table.present()) {
      const {proxy, address} = update.proxy;
      if (leavingProxies.has(`${proxy} ${address}`)) {
        mergeUpdate({...update, leaving: true});
      }
    }
  }

  return {
    selfKey,
    table,
    suspicions,
    leavingTargets,
    describe,
    receive,
    markReplaced,
    isLeaving: () => ownUpdate.leaving,
    leave() {
      updateSelf({
        ...ownUpdate,
        revision: ownUpdate.revision + 1,
        leaving: true,
      });
    },
    announceLeadership,
    applyInstanceList,
  };
}
