import {type Milliseconds, createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createStatementSimulation} from '../src/statements/statement_simulation';

const SEEDS = [1, 2, 3, 4, 5];
const WARM_UP_MS: Milliseconds = 3000;
const CHANGE_COUNT = 3;
const CHANGE_INTERVAL_MS: Milliseconds = 7000;
const DURATION_MS = WARM_UP_MS + CHANGE_COUNT * CHANGE_INTERVAL_MS;
/** Longer than a proxy waits for the answer to an order. */
const ANSWER_TIME_MS: Milliseconds = 600;
const ARRIVAL_TIME_MS: Milliseconds = 60;
const ARRIVAL_VARIATION_MS: Milliseconds = 1.5;

/**
 * Replaces the primary several times; returns the epochs of the orders as they
 * arrive.
 */
function replacePrimaries(seed: number): number[] {
  const random = createRandom(seed);
  const epochs: number[] = [];
  const simulation = createStatementSimulation({
    seed,
    duration: DURATION_MS,
    arePromotionsFenced: false,
    promotionTime: 1000,
    promotionPath: {
      arrivalDelay: () =>
        ARRIVAL_TIME_MS + ARRIVAL_VARIATION_MS * random.fraction(),
      answerTime: ANSWER_TIME_MS,
      onArrival: ({epoch}) => epochs.push(epoch),
    },
  });
  const {timer, group} = simulation;
  timer.advance(WARM_UP_MS);
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const leaving = group.primary()?.target ?? '';
    simulation.setLeaving(leaving, true);
    timer.advance(CHANGE_INTERVAL_MS);
    expect(group.primary()?.target === leaving).toEqual(false);
    simulation.setLeaving(leaving, false);
  }
  simulation.finish();
  expect(simulation.checker.broken()).toEqual([]);
  return epochs;
}

describe('a platform that does not fence promotion orders', () => {
  // Guards against orders that are executed after one with a higher epoch.
  test('receives no order after one with a higher epoch', () => {
    for (const seed of SEEDS) {
      const epochs = replacePrimaries(seed);
      expect(epochs.length > CHANGE_COUNT).toEqual(true);
      expect(epochs).toEqual([...epochs].sort((left, right) => left - right));
    }
  });
});
