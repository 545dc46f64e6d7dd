import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementSimulation} from '../src/statements/statement_simulation';

const DURATION_MS = 8000;
const WARM_UP_MS = 1000;
/** Time within which a new configuration must be in force. */
const STALENESS_BOUND_MS = 3000;

describe('a proxy whose requests the store rejects', () => {
  test('starts with the tables of its peers', () => {
    const simulation = createStatementSimulation({
      seed: 1,
      duration: DURATION_MS,
    });
    simulation.timer.advance(WARM_UP_MS);
    simulation.store.faults.refused = new Set(['proxy-1']);
    simulation.killProxy('proxy-1');
    simulation.startProxy('proxy-1');
    simulation.timer.advance(STALENESS_BOUND_MS / 2);
    const gateway = simulation.gateway('proxy-1');
    expect(gateway?.configuration.current()?.version).toEqual(1);
    expect(gateway?.group('records')?.leader()?.target).toEqual('target-1');
    simulation.finish();
    expect(simulation.checker.broken()).toEqual([]);
  });

  test('receives a new configuration from its peers', () => {
    const simulation = createStatementSimulation({
      seed: 2,
      duration: DURATION_MS,
    });
    simulation.timer.advance(WARM_UP_MS);
    simulation.store.faults.refused = new Set(['proxy-1']);
    const configuration = simulation
      .gateway('proxy-2')
      ?.configuration.current();
    simulation.store.put('configuration', 'current', {
      ...configuration,
      version: 2,
    });
    // The proxy's own feed request ends only after its full wait.
    simulation.timer.advance(2 * STALENESS_BOUND_MS);
    const proxy = simulation.gateway('proxy-1');
    expect(proxy?.configuration.current()?.version).toEqual(2);
  });

  test('never reverts to an older configuration of a peer', () => {
    const simulation = createStatementSimulation({
      seed: 3,
      duration: DURATION_MS,
    });
    simulation.timer.advance(WARM_UP_MS);
    const configuration = simulation
      .gateway('proxy-1')
      ?.configuration.current();
    simulation.store.put('configuration', 'current', {
      ...configuration,
      version: 3,
    });
    simulation.timer.advance(WARM_UP_MS);
    simulation.store.faults.refused = new Set(['proxy-1']);
    const versions = new Set<number | undefined>();
    simulation.timer.every(50, () => {
      versions.add(
        simulation.gateway('proxy-1')?.configuration.current()?.version,
      );
    });
    simulation.timer.advance(STALENESS_BOUND_MS);
    expect([...versions]).toEqual([3]);
  });
});
