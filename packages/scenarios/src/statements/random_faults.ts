/** Faults of a statement simulation, with random durations and targets. */
import {type Milliseconds, type Random} from '@kelpstep/runtime';

import type {StoreCopy} from '@kelpstep/stand-ins';

import type {StatementSimulation} from './statement_simulation';

/** Names of the faults that can be drawn. */
export const STATEMENT_FAULTS = [
  'crash primary',
  'crash replica',
  'cut primary from replicas',
  'cut primary from a proxy',
  'cut a proxy off',
  'isolate primary',
  'isolate primary and a proxy from the store',
  'cut primary from most proxies',
  'only copy silent',
  'deaf replica',
  'deaf replica, then crash',
  'leaving primary',
  'store refuses some',
  'store silent',
  'store loses answers',
  'store writes late',
  'store compacts',
  'store restored',
  'store restored as the primary changes',
  'orders late',
  'orders to targets late',
  'answers lost',
  'kill proxy',
  'kill all proxies',
  'all proxies lose power',
] as const;
export type StatementFault = (typeof STATEMENT_FAULTS)[number];

const SHORTEST_FAULT_MS: Milliseconds = 400;
const LONGEST_FAULT_MS: Milliseconds = 4500;
/** Time for which a store is silent before it returns from a copy. */
const STORE_RETURN_MS: Milliseconds = 300;

/** Starts a fault and schedules its end after a random duration. */
export function startFault(
  simulation: StatementSimulation,
  fault: StatementFault,
  random: Random,
): void {
  const {timer, group, network, store, proxies} = simulation;
  const endpoints = proxies.map(simulation.endpointOf);
  const duration =
    SHORTEST_FAULT_MS +
    (LONGEST_FAULT_MS - SHORTEST_FAULT_MS) * random.fraction();
  const primary = group.primary()?.target ?? 'target-1';
  const targets = group.targets().map(({target}) => target);
  const replicas = targets.filter(name => name !== primary);
  const replica = random.pick(replicas);
  const proxy = random.pick(proxies);
  const endpoint = simulation.endpointOf(proxy);

  function scheduleEnd(end: () => void): void {
    timer.after(duration, end);
  }

  function crash(target: string): void {
    if (group.target(target).isRunning()) {
      group.crash(target);
      scheduleEnd(() => group.restart(target, false));
    }
  }

  function partition(from: string, peers: readonly string[]): void {
    peers.forEach(peer => network.partition(from, peer));
    scheduleEnd(() => peers.forEach(peer => network.heal(from, peer)));
  }

  function kill(name: string): void {
    if (simulation.gateway(name) !== undefined) {
      simulation.killProxy(name);
      scheduleEnd(() => simulation.startProxy(name));
    }
  }

  /** The store returns after a silence, from a copy of the present state. */
  function restoreStore(): void {
    const copy = store.takeCopy();
    timer.after(duration * random.fraction(), () => {
      store.faults.silent = 'all';
      scheduleRestore(copy);
    });
  }

  function scheduleRestore(copy: StoreCopy): void {
    timer.after(STORE_RETURN_MS, () => {
      store.faults.silent = new Set();
      store.restore(copy);
    });
  }

  switch (fault) {
    case 'crash primary':
      crash(primary);
      return;
    case 'crash replica':
      crash(replica);
      return;
    case 'cut primary from replicas':
      partition(primary, replicas);
      return;
    case 'cut primary from a proxy':
      partition(primary, [endpoint]);
      return;
    case 'cut a proxy off':
      partition(endpoint, targets);
      return;
    case 'isolate primary':
      partition(primary, [...replicas, ...endpoints.slice(1)]);
      return;
    case 'isolate primary and a proxy from the store':
      // Lasts long enough for another target to become primary and accept
      // writes.
      store.faults.refused = new Set(proxies.slice(0, 1));
      scheduleEnd(() => (store.faults.refused = new Set()));
      partition(primary, [...replicas, ...endpoints.slice(1)]);
      return;
    case 'cut primary from most proxies':
      partition(primary, endpoints.slice(1));
      return;
    case 'only copy silent': {
      const peer = replicas.filter(name => name !== replica);
      group.target(replica).setReplicationBlocked(true);
      timer.after(duration / 4, () => {
        crash(primary);
        peer.forEach(name => partition(name, endpoints));
      });
      scheduleEnd(() => group.target(replica).setReplicationBlocked(false));
      return;
    }
    case 'deaf replica':
    case 'deaf replica, then crash':
      group.target(replica).setReplicationBlocked(true);
      if (fault === 'deaf replica, then crash') {
        timer.after(duration / 2, () => crash(primary));
      }
      scheduleEnd(() => group.target(replica).setReplicationBlocked(false));
      return;
    case 'leaving primary':
      simulation.setLeaving(primary, true);
      scheduleEnd(() => simulation.setLeaving(primary, false));
      return;
    case 'store refuses some':
      store.faults.refused = new Set([proxy]);
      scheduleEnd(() => (store.faults.refused = new Set()));
      return;
    case 'store silent':
      store.faults.silent = 'all';
      scheduleEnd(() => (store.faults.silent = new Set()));
      return;
    case 'store loses answers':
      store.faults.lostAnswerShare = 0.4;
      scheduleEnd(() => (store.faults.lostAnswerShare = 0));
      return;
    case 'store writes late':
      store.faults.lateWriteShare = 0.4;
      scheduleEnd(() => (store.faults.lateWriteShare = 0));
      return;
    case 'store compacts':
      store.compact();
      return;
    case 'store restored':
      restoreStore();
      return;
    case 'store restored as the primary changes':
      crash(primary);
      restoreStore();
      return;
    case 'orders late':
      simulation.latePromotionShare = 0.6;
      scheduleEnd(() => (simulation.latePromotionShare = 0));
      return;
    case 'orders to targets late':
      simulation.lateTargetCommandShare = 0.5;
      scheduleEnd(() => (simulation.lateTargetCommandShare = 0));
      return;
    case 'answers lost':
      simulation.lostAnswerShare = 0.03;
      scheduleEnd(() => (simulation.lostAnswerShare = 0));
      return;
    case 'kill proxy':
      kill(proxy);
      return;
    case 'kill all proxies':
      proxies.forEach(kill);
      return;
    case 'all proxies lose power':
      proxies.forEach(name => {
        if (simulation.gateway(name) !== undefined) {
          simulation.cutPower(name);
          scheduleEnd(() => simulation.startProxy(name));
        }
      });
  }
}
