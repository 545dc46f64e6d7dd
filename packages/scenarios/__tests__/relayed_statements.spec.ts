import type {MessageInTransit} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type StatementSimulation,
  createStatementSimulation,
} from '../src/statements/statement_simulation';

const DURATION_MS = 12_000;
/** Proxies have discovered each other and only owners keep connections. */
const WARM_UP_MS = 5000;
const FAULT_TIME_MS = 4000;
const SETTLING_TIME_MS = 1500;
const SEEDS = [1, 2, 3];
const GROUP = 'records';
const SECOND_MS = 1000;
/** Delay added to each message to and from a slow proxy. */
const ADDED_DELAY_MS = 100;

/** More proxies than targets accept connections from: four are owners. */
const FLEET = {
  duration: DURATION_MS,
  proxies: 15,
  sessions: 30,
  connectionLimit: 20,
} as const;

/** Four owners have three connections each, and temporarily one more. */
const MAXIMUM_CONNECTIONS = 16;

interface Counts {
  readonly started: number;
  readonly served: number;
}

interface PartitionResult extends Counts {
  /** Primary at the end of the partition. */
  readonly primary: string | undefined;
}

function servedShare({started, served}: Counts): number {
  return served / started;
}

function connectionOwnersIn(simulation: StatementSimulation): string[] {
  return simulation.proxies.filter(
    proxy => simulation.gateway(proxy)?.group(GROUP) !== undefined,
  );
}

function expectNoViolations(
  seed: number,
  simulation: StatementSimulation,
): void {
  simulation.finish();
  expect({seed, broken: simulation.checker.broken()}).toEqual({
    seed,
    broken: [],
  });
}

/** Partitions one of four proxies from targets and counts operations. */
function simulatePartition(
  seed: number,
  targets: string[],
  relays: boolean,
): PartitionResult {
  const simulation = createStatementSimulation({
    seed,
    duration: DURATION_MS,
    relays,
  });
  const {timer, network, group} = simulation;
  timer.advance(WARM_UP_MS);
  const endpoint = simulation.endpointOf('proxy-1');
  targets.forEach(target => network.partition(endpoint, target));
  const from = timer.now();
  timer.advance(FAULT_TIME_MS);
  const counts = simulation.counts.countsSince(from);
  const primary = group.primary()?.target;
  targets.forEach(target => network.heal(endpoint, target));
  expectNoViolations(seed, simulation);
  return {...counts, primary};
}

describe('relayed statements', () => {
  test('are served when only some proxies own connections', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...FLEET, seed});
      simulation.timer.advance(WARM_UP_MS);
      const from = simulation.timer.now();
      simulation.timer.advance(FAULT_TIME_MS);
      const connections = simulation.group
        .targets()
        .map(target => target.connections());
      const isWithin = Math.max(...connections) <= MAXIMUM_CONNECTIONS;
      const connectionOwners = connectionOwnersIn(simulation).length;
      const isServed = servedShare(simulation.counts.countsSince(from)) > 0.99;
      expect({seed, isWithin, connectionOwners, isServed}).toEqual({
        seed,
        isWithin: true,
        connectionOwners: 4,
        isServed: true,
      });
      expectNoViolations(seed, simulation);
    }
  });

  test('are served after most connection owners are killed', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...FLEET, seed});
      const {timer} = simulation;
      timer.advance(WARM_UP_MS);
      const killedOwners = connectionOwnersIn(simulation).slice(0, 3);
      killedOwners.forEach(simulation.killProxy);
      timer.advance(SETTLING_TIME_MS);
      const from = timer.now();
      timer.advance(FAULT_TIME_MS - SETTLING_TIME_MS);
      const isServed = servedShare(simulation.counts.countsSince(from)) > 0.97;
      killedOwners.forEach(simulation.startProxy);
      expectNoViolations(seed, simulation);
      expect({seed, isServed}).toEqual({seed, isServed: true});
    }
  });

  test('reach a primary from which only their proxy is partitioned', () => {
    for (const seed of SEEDS) {
      const relayed = simulatePartition(seed, ['target-1'], true);
      const direct = simulatePartition(seed, ['target-1'], false);
      const isServed = servedShare(relayed) > 0.97;
      const primaries = [relayed.primary, direct.primary === 'target-1'];
      // Without relays the proxy assumes that the primary is lost.
      expect({seed, isServed, primaries}).toEqual({
        seed,
        isServed: true,
        primaries: ['target-1', false],
      });
    }
  });

  test('reach a group from which their proxy is partitioned', () => {
    const all = ['target-1', 'target-2', 'target-3'];
    for (const seed of SEEDS) {
      const relayed = simulatePartition(seed, all, true);
      const direct = simulatePartition(seed, all, false);
      const isServed = servedShare(relayed) > 0.97;
      // With relays fewer statements are refused, and none waits for a
      // succession that is abandoned.
      const isBetter = relayed.served > 1.1 * direct.served;
      expect({seed, relayed, direct, isServed, isBetter}).toEqual({
        seed,
        relayed,
        direct,
        isServed: true,
        isBetter: true,
      });
    }
  });

  test('avoid a connection owner that has become slow', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({...FLEET, seed});
      const {timer, relays} = simulation;
      timer.advance(WARM_UP_MS);
      const slow = simulation.hostOf(connectionOwnersIn(simulation)[0] ?? '');
      const matches = ({from, to}: MessageInTransit) =>
        from === slow || to === slow;
      const cancelDelay = relays.delayMessages(matches, ADDED_DELAY_MS);
      timer.advance(SECOND_MS);
      const from = timer.now();
      timer.advance(FAULT_TIME_MS - SECOND_MS);
      const times = simulation.counts.statementDurationsSince(from);
      const late = times.filter(time => time > ADDED_DELAY_MS).length;
      cancelDelay();
      expectNoViolations(seed, simulation);
      const isRare = late / times.length < 0.1;
      expect({seed, isRare}).toEqual({seed, isRare: true});
    }
  });

  test('violate no rule when peers are unresponsive, frozen or partitioned', () => {
    for (let seed = 1; seed <= 10; seed++) {
      const simulation = createStatementSimulation({...FLEET, seed});
      const {timer, proxies, relays} = simulation;
      timer.advance(WARM_UP_MS);
      const hosts = proxies.map(simulation.hostOf);
      const frozen = hosts.slice(0, 2);
      hosts
        .slice(2, 5)
        .forEach(host => relays.blackholeConnections(host, hosts[seed] ?? ''));
      relays.partitionGroups(hosts.slice(5, 7), hosts.slice(7));
      frozen.forEach(relays.freezeHost);
      timer.advance(SETTLING_TIME_MS);
      frozen.forEach(relays.thawHost);
      timer.advance(SETTLING_TIME_MS);
      relays.healAll();
      expectNoViolations(seed, simulation);
    }
  });
});
