import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementWorld} from '../src/statements/statement_world';

const DURATION = 8000;
const WARM_UP = 1000;
/** Bound within which a configuration is to be in force. */
const IN_FORCE = 3000;

describe('a proxy that the store refuses', () => {
  test('starts with what its peers know', () => {
    const world = createStatementWorld({seed: 1, duration: DURATION});
    world.timer.advance(WARM_UP);
    world.store.faults.refused = new Set(['proxy-1']);
    world.killProxy('proxy-1');
    world.startProxy('proxy-1');
    world.timer.advance(IN_FORCE / 2);
    const gateway = world.gateway('proxy-1');
    expect(gateway?.configuration.current()?.version).toEqual(1);
    expect(gateway?.group('records')?.leader()?.target).toEqual('target-1');
    world.finish();
    expect(world.checker.broken()).toEqual([]);
  });

  test('has a new configuration in force through its peers', () => {
    const world = createStatementWorld({seed: 2, duration: DURATION});
    world.timer.advance(WARM_UP);
    world.store.faults.refused = new Set(['proxy-1']);
    const configuration = world.gateway('proxy-2')?.configuration.current();
    world.store.put('configuration', 'current', {
      ...configuration,
      version: 2,
    });
    // Its own feed question ends unanswered only after its whole wait.
    world.timer.advance(2 * IN_FORCE);
    const proxy = world.gateway('proxy-1');
    expect(proxy?.configuration.current()?.version).toEqual(2);
  });

  test('never goes back to an older configuration of a peer', () => {
    const world = createStatementWorld({seed: 3, duration: DURATION});
    world.timer.advance(WARM_UP);
    const configuration = world.gateway('proxy-1')?.configuration.current();
    world.store.put('configuration', 'current', {
      ...configuration,
      version: 3,
    });
    world.timer.advance(WARM_UP);
    world.store.faults.refused = new Set(['proxy-1']);
    const versions = new Set<number | undefined>();
    world.timer.every(50, () => {
      versions.add(world.gateway('proxy-1')?.configuration.current()?.version);
    });
    world.timer.advance(IN_FORCE);
    expect([...versions]).toEqual([3]);
  });
});
