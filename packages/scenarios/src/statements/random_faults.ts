/** Faults of a statement world at random times, drawn from a seed. */
import {type Milliseconds, type Random} from '@kelpstep/runtime';

import type {StatementWorld} from './statement_world';

/** Names of faults that are drawn. */
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
  'orders late',
  'orders to targets late',
  'answers lost',
  'kill proxy',
  'kill all proxies',
  'all proxies lose power',
] as const;
export type StatementFault = (typeof STATEMENT_FAULTS)[number];

const SHORTEST: Milliseconds = 400;
const LONGEST: Milliseconds = 4500;

/** Starts a fault; the world is whole again after a while. */
export function startFault(
  world: StatementWorld,
  fault: StatementFault,
  random: Random,
): void {
  const {timer, group, network, store, proxies} = world;
  const places = proxies.map(world.placeOf);
  const duration = SHORTEST + (LONGEST - SHORTEST) * random.fraction();
  const primary = group.primary()?.target ?? 'target-1';
  const names = group.targets().map(({target}) => target);
  const replicas = names.filter(name => name !== primary);
  const replica = random.pick(replicas);
  const proxy = random.pick(proxies);
  const place = world.placeOf(proxy);

  function later(heal: () => void): void {
    timer.after(duration, heal);
  }

  function crash(target: string): void {
    if (group.target(target).isRunning()) {
      group.crash(target);
      later(() => group.restart(target, false));
    }
  }

  function cut(from: string, others: readonly string[]): void {
    others.forEach(other => network.cut(from, other));
    later(() => others.forEach(other => network.heal(from, other)));
  }

  function kill(name: string): void {
    if (world.gateway(name) !== undefined) {
      world.killProxy(name);
      later(() => world.startProxy(name));
    }
  }

  switch (fault) {
    case 'crash primary':
      crash(primary);
      return;
    case 'crash replica':
      crash(replica);
      return;
    case 'cut primary from replicas':
      cut(primary, replicas);
      return;
    case 'cut primary from a proxy':
      cut(primary, [place]);
      return;
    case 'cut a proxy off':
      cut(place, names);
      return;
    case 'isolate primary':
      cut(primary, [...replicas, ...places.slice(1)]);
      return;
    case 'isolate primary and a proxy from the store':
      // Long enough for another target to lead and take writes.
      store.faults.refused = new Set(proxies.slice(0, 1));
      later(() => (store.faults.refused = new Set()));
      cut(primary, [...replicas, ...places.slice(1)]);
      return;
    case 'cut primary from most proxies':
      cut(primary, places.slice(1));
      return;
    case 'only copy silent': {
      const other = replicas.filter(name => name !== replica);
      group.target(replica).setDeaf(true);
      timer.after(duration / 4, () => {
        crash(primary);
        other.forEach(name => cut(name, places));
      });
      later(() => group.target(replica).setDeaf(false));
      return;
    }
    case 'deaf replica':
    case 'deaf replica, then crash':
      group.target(replica).setDeaf(true);
      if (fault === 'deaf replica, then crash') {
        timer.after(duration / 2, () => crash(primary));
      }
      later(() => group.target(replica).setDeaf(false));
      return;
    case 'leaving primary':
      world.setLeaving(primary, true);
      later(() => world.setLeaving(primary, false));
      return;
    case 'store refuses some':
      store.faults.refused = new Set([proxy]);
      later(() => (store.faults.refused = new Set()));
      return;
    case 'store silent':
      store.faults.silent = 'all';
      later(() => (store.faults.silent = new Set()));
      return;
    case 'store loses answers':
      store.faults.lostAnswers = 0.4;
      later(() => (store.faults.lostAnswers = 0));
      return;
    case 'store writes late':
      store.faults.lateWrites = 0.4;
      later(() => (store.faults.lateWrites = 0));
      return;
    case 'store compacts':
      store.compact();
      return;
    case 'orders late':
      world.lateOrders = 0.6;
      later(() => (world.lateOrders = 0));
      return;
    case 'orders to targets late':
      world.lateTargetOrders = 0.5;
      later(() => (world.lateTargetOrders = 0));
      return;
    case 'answers lost':
      world.lostAnswers = 0.03;
      later(() => (world.lostAnswers = 0));
      return;
    case 'kill proxy':
      kill(proxy);
      return;
    case 'kill all proxies':
      proxies.forEach(kill);
      return;
    case 'all proxies lose power':
      proxies.forEach(name => {
        if (world.gateway(name) !== undefined) {
          world.cutPower(name);
          later(() => world.startProxy(name));
        }
      });
  }
}
