import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementSimulation} from '../src/statements/statement_simulation';

const DURATION = 9000;
const WARM_UP = 3000;
const PRIMARY = 'target-1';
const PROMOTION_TIME = 300;
/** Beyond the promotion itself: finding out, deciding and its round trips. */
const DECISION_TIME = 1000;

describe('a change of primary', () => {
  test('stops every replica before one is promoted', () => {
    const simulation = createStatementSimulation({seed: 1, duration: DURATION});
    const {group, timer} = simulation;
    let sawAllPaused = false;
    timer.every(1, () => {
      const others = group.targets().filter(({target}) => target !== PRIMARY);
      sawAllPaused ||= others.every(target => target.isPaused());
    });
    timer.advance(WARM_UP);
    group.crash(PRIMARY);
    timer.advance(DECISION_TIME + PROMOTION_TIME);
    expect(sawAllPaused).toEqual(true);
    expect(group.primary()?.target === PRIMARY).toEqual(false);
  });

  test('after a loss takes a second beside the promotion at most', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const simulation = createStatementSimulation({seed, duration: DURATION});
      simulation.timer.advance(WARM_UP);
      simulation.group.crash(PRIMARY);
      const isReplaced = simulation.timer.runUntil(
        () => simulation.group.primary() !== undefined,
        DECISION_TIME + PROMOTION_TIME,
      );
      expect({seed, isReplaced}).toEqual({seed, isReplaced: true});
    }
  });

  test('that is planned is over before the old primary goes', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const simulation = createStatementSimulation({seed, duration: DURATION});
      simulation.timer.advance(WARM_UP);
      simulation.setLeaving(PRIMARY, true);
      simulation.timer.runUntil(
        () => (simulation.group.primary()?.target ?? PRIMARY) !== PRIMARY,
        DECISION_TIME + PROMOTION_TIME,
      );
      const next = simulation.group.primary()?.target ?? '';
      simulation.finish();
      const {started, served} = simulation.counts;
      expect(next === '' || next === PRIMARY).toEqual(false);
      expect(simulation.checker.broken()).toEqual([]);
      expect({seed, isServed: served / started > 0.97}).toEqual({
        seed,
        isServed: true,
      });
    }
  });

  test('is not followed by another while its leader is still unknown', () => {
    for (let seed = 1; seed <= 8; seed++) {
      const simulation = createStatementSimulation({
        seed,
        duration: 2 * DURATION,
        promotionTime: 1000,
      });
      const {group, timer} = simulation;
      const terms = new Set<number>();
      timer.every(1, () => terms.add(group.primary()?.term() ?? 0));
      timer.advance(WARM_UP);
      group.crash(PRIMARY);
      // Nobody knows who led: all wait for the same change to end.
      for (const proxy of simulation.proxies) {
        const known = simulation.gateway(proxy)?.group('records');
        known?.positions.dismissLeader(PRIMARY);
      }
      simulation.finish();
      expect(simulation.checker.broken()).toEqual([]);
      expect({seed, terms: [...terms]}).toEqual({seed, terms: [1, 0, 2]});
    }
  });

  test('left half done by its holder is taken over', () => {
    const simulation = createStatementSimulation({
      seed: 1,
      duration: 2 * DURATION,
      promotionTime: PROMOTION_TIME,
    });
    const {group, timer} = simulation;
    timer.advance(WARM_UP);
    group.crash(PRIMARY);
    // Whoever acts dies as soon as the replicas are stopped.
    timer.runUntil(
      () =>
        group
          .targets()
          .filter(({target}) => target !== PRIMARY)
          .every(target => target.isPaused()),
      DECISION_TIME,
    );
    const survivor = simulation.proxies[0] ?? '';
    for (const proxy of simulation.proxies) {
      simulation.killProxy(proxy);
    }
    simulation.startProxy(survivor);
    const isReplaced = timer.runUntil(
      () => group.primary() !== undefined,
      2 * WARM_UP,
    );
    simulation.finish();
    expect(isReplaced).toEqual(true);
    expect(simulation.checker.broken()).toEqual([]);
  });

  test('frees writes that no replica receives', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const simulation = createStatementSimulation({
        seed,
        duration: 2 * DURATION,
      });
      const {group, network, timer} = simulation;
      const replicas = ['target-2', 'target-3'];
      timer.advance(WARM_UP);
      replicas.forEach(target => network.cut(PRIMARY, target));
      const isReplaced = timer.runUntil(
        () => replicas.some(name => group.target(name).role() === 'primary'),
        2 * DECISION_TIME + PROMOTION_TIME,
      );
      timer.advance(DECISION_TIME);
      const from = timer.now();
      timer.advance(DECISION_TIME);
      const {started, served} = simulation.counts.countsSince(from);
      replicas.forEach(target => network.heal(PRIMARY, target));
      simulation.finish();
      const isServed = served / started > 0.9;
      expect({seed, broken: simulation.checker.broken()}).toEqual({
        seed,
        broken: [],
      });
      expect({seed, isReplaced, isServed}).toEqual({
        seed,
        isReplaced: true,
        isServed: true,
      });
    }
  });

  test('is not made for answers that are lost', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const simulation = createStatementSimulation({seed, duration: DURATION});
      simulation.timer.advance(WARM_UP);
      simulation.lostAnswerShare = 0.2;
      simulation.timer.advance(WARM_UP);
      simulation.lostAnswerShare = 0;
      expect({seed, term: simulation.group.target(PRIMARY).term()}).toEqual({
        seed,
        term: 1,
      });
      simulation.finish();
    }
  });
});
