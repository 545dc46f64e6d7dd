import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementSimulation} from '../src/statements/statement_simulation';

const DURATION = 8000;
const WARM_UP = 1000;
/** Bound within which a configuration is to be in force. */
const IN_FORCE = 3000;

describe('a proxy that the store refuses', () => {
  test('starts with what its peers know', () => {
    const simulation = createStatementSimulation({seed: 1, duration: DURATION});
    simulation.timer.advance(WARM_UP);
    simulation.store.faults.refused = new Set(['proxy-1']);
    simulation.killProxy('proxy-1');
    simulation.startProxy('proxy-1');
    simulation.timer.advance(IN_FORCE / 2);
    const gateway = simulation.gateway('proxy-1');
    expect(gateway?.configuration.current()?.version).toEqual(1);
    expect(gateway?.group('records')?.leader()?.target).toEqual('target-1');
    simulation.finish();
    expect(simulation.checker.broken()).toEqual([]);
  });

  test('has a new configuration in force through its peers', () => {
    const simulation = createStatementSimulation({seed: 2, duration: DURATION});
    simulation.timer.advance(WARM_UP);
    simulation.store.faults.refused = new Set(['proxy-1']);
    const configuration = simulation
      .gateway('proxy-2')
      ?.configuration.current();
    simulation.store.put('configuration', 'current', {
      ...configuration,
      version: 2,
    });
    // Its own feed question ends unanswered only after its whole wait.
    simulation.timer.advance(2 * IN_FORCE);
    const proxy = simulation.gateway('proxy-1');
    expect(proxy?.configuration.current()?.version).toEqual(2);
  });

  test('never goes back to an older configuration of a peer', () => {
    const simulation = createStatementSimulation({seed: 3, duration: DURATION});
    simulation.timer.advance(WARM_UP);
    const configuration = simulation
      .gateway('proxy-1')
      ?.configuration.current();
    simulation.store.put('configuration', 'current', {
      ...configuration,
      version: 3,
    });
    simulation.timer.advance(WARM_UP);
    simulation.store.faults.refused = new Set(['proxy-1']);
    const versions = new Set<number | undefined>();
    simulation.timer.every(50, () => {
      versions.add(
        simulation.gateway('proxy-1')?.configuration.current()?.version,
      );
    });
    simulation.timer.advance(IN_FORCE);
    expect([...versions]).toEqual([3]);
  });
});
