import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementWorld} from '../src/statements/statement_world';

const DURATION = 9000;
const WARM_UP = 3000;
const PRIMARY = 'target-1';
const PROMOTION_TIME = 300;
/** Beyond the promotion itself: finding out, deciding and its round trips. */
const DECISION_TIME = 1000;

describe('a change of primary', () => {
  test('stops every replica before one is promoted', () => {
    const world = createStatementWorld({seed: 1, duration: DURATION});
    const {group, timer} = world;
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
      const world = createStatementWorld({seed, duration: DURATION});
      world.timer.advance(WARM_UP);
      world.group.crash(PRIMARY);
      const isReplaced = world.timer.runUntil(
        () => world.group.primary() !== undefined,
        DECISION_TIME + PROMOTION_TIME,
      );
      expect({seed, isReplaced}).toEqual({seed, isReplaced: true});
    }
  });

  test('that is planned is over before the old primary goes', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const world = createStatementWorld({seed, duration: DURATION});
      world.timer.advance(WARM_UP);
      world.setLeaving(PRIMARY, true);
      world.timer.runUntil(
        () => (world.group.primary()?.target ?? PRIMARY) !== PRIMARY,
        DECISION_TIME + PROMOTION_TIME,
      );
      const next = world.group.primary()?.target ?? '';
      world.finish();
      const {started, served} = world.counts;
      expect(next === '' || next === PRIMARY).toEqual(false);
      expect(world.checker.broken()).toEqual([]);
      expect({seed, isServed: served / started > 0.97}).toEqual({
        seed,
        isServed: true,
      });
    }
  });

  test('is not followed by another while its leader is still unknown', () => {
    for (let seed = 1; seed <= 8; seed++) {
      const world = createStatementWorld({
        seed,
        duration: 2 * DURATION,
        promotionTime: 1000,
      });
      const {group, timer} = world;
      const terms = new Set<number>();
      timer.every(1, () => terms.add(group.primary()?.term() ?? 0));
      timer.advance(WARM_UP);
      group.crash(PRIMARY);
      // Nobody knows who led: all wait for the same change to end.
      for (const proxy of world.proxies) {
        const known = world.gateway(proxy)?.group('records');
        known?.positions.dismissLeader(PRIMARY);
      }
      world.finish();
      expect(world.checker.broken()).toEqual([]);
      expect({seed, terms: [...terms]}).toEqual({seed, terms: [1, 0, 2]});
    }
  });

  test('left half done by its holder is taken over', () => {
    const world = createStatementWorld({
      seed: 1,
      duration: 2 * DURATION,
      promotionTime: PROMOTION_TIME,
    });
    const {group, timer} = world;
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
    const survivor = world.proxies[0] ?? '';
    for (const proxy of world.proxies) {
      world.killProxy(proxy);
    }
    world.startProxy(survivor);
    const isReplaced = timer.runUntil(
      () => group.primary() !== undefined,
      2 * WARM_UP,
    );
    world.finish();
    expect(isReplaced).toEqual(true);
    expect(world.checker.broken()).toEqual([]);
  });

  test('frees writes that no replica receives', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const world = createStatementWorld({seed, duration: 2 * DURATION});
      const {group, network, timer} = world;
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
      const {started, served} = world.counts.servedSince(from);
      replicas.forEach(target => network.heal(PRIMARY, target));
      world.finish();
      const isServed = served / started > 0.9;
      expect({seed, broken: world.checker.broken()}).toEqual({
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
      const world = createStatementWorld({seed, duration: DURATION});
      world.timer.advance(WARM_UP);
      world.lostAnswers = 0.2;
      world.timer.advance(WARM_UP);
      world.lostAnswers = 0;
      expect({seed, term: world.group.target(PRIMARY).term()}).toEqual({
        seed,
        term: 1,
      });
      world.finish();
    }
  });
});
