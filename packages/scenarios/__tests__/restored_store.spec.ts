import {expect} from 'earl';
import {describe, test} from 'node:test';

import {simulateFaults} from '../src/statements/fault_simulation';
import {createStatementSimulation} from '../src/statements/statement_simulation';

const DURATION_MS = 8000;
const WARM_UP_MS = 1000;
const REWRITE_DELAY_MS = 1000;
const UNKNOWN_DATABASE = {database: 'unknown', keyDigest: ''};

describe('a proxy whose store returns from an older copy', () => {
  test('keeps its configuration and denies no database by an older one', () => {
    const simulation = createStatementSimulation({
      seed: 1,
      duration: DURATION_MS,
    });
    const {store, timer} = simulation;
    const names = new Set<string | undefined>();
    const versions = new Set<number | undefined>();
    timer.advance(WARM_UP_MS);
    const copy = store.takeCopy();
    simulation.configure({transactionIdle: 2000});
    timer.advance(WARM_UP_MS);
    store.restore(copy, REWRITE_DELAY_MS);
    const {configuration} = simulation.gateway('proxy-1') ?? {};
    const admit = () => configuration?.admit(UNKNOWN_DATABASE);
    timer.advance(REWRITE_DELAY_MS / 2);
    const stopSampling = timer.every(20, () => {
      const admission = admit();
      versions.add(configuration?.current()?.version);
      names.add(
        admission?.kind === 'refused' ? admission.answer.error?.name : '',
      );
    });
    timer.advance(REWRITE_DELAY_MS / 4);
    stopSampling();
    expect({names: [...names], versions: [...versions]}).toEqual({
      names: ['busy'],
      versions: [2],
    });
    timer.advance(REWRITE_DELAY_MS);
    const admission = admit();
    expect(
      admission?.kind === 'refused' && admission.answer.error?.name,
    ).toEqual('noDatabase');
  });

  test('keeps the targets that have yet to register again', () => {
    const simulation = createStatementSimulation({
      seed: 1,
      duration: DURATION_MS,
    });
    const {store, timer} = simulation;
    timer.advance(WARM_UP_MS);
    const entry = simulation
      .gateway('proxy-1')
      ?.group('records')
      ?.link('target-3')
      ?.registration();
    store.remove('registrations', 'target-3');
    const copy = store.takeCopy();
    store.put('registrations', 'target-3', entry);
    timer.advance(WARM_UP_MS);
    store.restore(copy, REWRITE_DELAY_MS);
    const counts = new Set<number | undefined>();
    timer.every(20, () => {
      counts.add(
        simulation.gateway('proxy-1')?.group('records')?.links().length,
      );
    });
    timer.advance(4 * REWRITE_DELAY_MS);
    expect([...counts]).toEqual([3]);
  });

  test('uses no epoch of a lost change again', () => {
    for (let seed = 1; seed <= 6; seed++) {
      const simulation = createStatementSimulation({
        seed,
        duration: 2 * DURATION_MS,
      });
      const {store, timer, group} = simulation;
      const primary = () => group.primary()?.target ?? '';
      timer.advance(WARM_UP_MS);
      const copy = store.takeCopy();
      const first = primary();
      group.crash(first);
      timer.advance(2 * WARM_UP_MS);
      group.restart(first, false);
      const second = primary();
      store.restore(copy, REWRITE_DELAY_MS);
      timer.advance(3 * WARM_UP_MS);
      group.crash(second);
      timer.advance(3 * WARM_UP_MS);
      const third = primary();
      simulation.finish();
      expect({
        seed,
        broken: simulation.checker.broken(),
        changes: [first !== second, second !== third, third !== ''],
      }).toEqual({seed, broken: [], changes: [true, true, true]});
    }
  });

  test('uses no epoch twice and loses no commit as the primary changes', () => {
    for (let seed = 1; seed <= 30; seed++) {
      const {checker} = simulateFaults({
        seed,
        faults: ['store restored as the primary changes'],
      });
      expect({seed, broken: checker.broken()}).toEqual({seed, broken: []});
    }
  });
});
