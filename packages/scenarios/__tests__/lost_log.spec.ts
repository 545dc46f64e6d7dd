import type {Milliseconds} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementSimulation} from '../src/statements/statement_simulation';

const SEEDS = [1, 2, 3, 4, 5, 6];
const DURATION_MS: Milliseconds = 14_000;
const WARM_UP_MS: Milliseconds = 3000;
const PAUSE_DEADLINE_MS: Milliseconds = 2500;
const DOWN_TIME_MS: Milliseconds = 30;
const CUT_TIME_MS: Milliseconds = 6000;
const PRIMARY = 'target-1';
const REPLICAS = ['target-2', 'target-3'];

describe('a target that leads without its log', () => {
  // Guards against a group that loses its whole log although the old primary,
  // which the new one does not reach, still holds it.
  test('is replaced by one that still holds the log', () => {
    for (const seed of SEEDS) {
      const simulation = createStatementSimulation({
        seed,
        duration: DURATION_MS,
        arePromotionsFenced: true,
      });
      const {timer, group, network, store} = simulation;
      timer.advance(WARM_UP_MS);
      const [first] = group.target(PRIMARY).log();
      simulation.latePromotionShare = 1;
      REPLICAS.forEach(target => network.partition(PRIMARY, target));
      timer.runUntil(
        () => REPLICAS.every(name => group.target(name).isPaused()),
        PAUSE_DEADLINE_MS,
      );
      // An order that arrives at the ordered target just after it has returned.
      let ordered = '';
      timer.runUntil(() => {
        store
          .clientOf('test')
          .readTable('successions')
          .onSettled(result => {
            const rows = result.ok ? result.val.rows : [];
            const row = rows.find(({key}) => key.startsWith('succession/'));
            const {phase, target} = (row?.value ?? {}) as Record<
              string,
              string
            >;
            ordered = phase === 'ordered' ? (target ?? '') : '';
          });
        return ordered !== '';
      }, PAUSE_DEADLINE_MS);
      group.crash(ordered);
      timer.advance(DOWN_TIME_MS);
      group.restart(ordered, true);
      group.promote(ordered, 1, 'proxy-1');
      simulation.latePromotionShare = 0;
      timer.after(CUT_TIME_MS, () => network.healAll());
      simulation.finish();
      const log = group.primary()?.log() ?? [];
      expect({seed, isKept: log[0] === first}).toEqual({seed, isKept: true});
    }
  });
});
