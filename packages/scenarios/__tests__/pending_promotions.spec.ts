import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  PENDING_PROMOTION_FAULTS,
  type PendingPromotionFault,
  simulatePendingPromotion,
} from './pending_promotion_simulation';

const SEEDS = Array.from({length: 6}, (unused, index) => index + 1);
const MIXED_SEEDS = Array.from({length: 24}, (unused, index) => index + 1);

interface Loss {
  readonly seed: number;
  readonly faults: readonly PendingPromotionFault[];
  /** Number of violations by rule. */
  readonly broken: Readonly<Record<string, number>>;
}

function findLosses(
  seeds: readonly number[],
  faultsOf: (seed: number) => readonly PendingPromotionFault[],
): Loss[] {
  return seeds
    .map(seed => {
      const faults = faultsOf(seed);
      const {checker} = simulatePendingPromotion(seed, faults);
      const broken: Record<string, number> = {};
      for (const {rule} of checker.broken()) {
        broken[rule] = (broken[rule] ?? 0) + 1;
      }
      return {seed, faults, broken};
    })
    .filter(({broken}) => Object.keys(broken).length > 0);
}

function drawFaults(seed: number): PendingPromotionFault[] {
  const random = createRandom(seed);
  return [1, 2, 3].map(() => random.pick(PENDING_PROMOTION_FAULTS));
}

describe('a promotion that takes effect seconds after its order', () => {
  // Guards against commits that are acknowledged after a successor was selected
  // and are missing at it when it becomes primary.
  test('loses no acknowledged commit', () => {
    const losses = PENDING_PROMOTION_FAULTS.flatMap(fault =>
      findLosses(SEEDS, () => [fault]),
    );
    losses.push(...findLosses(MIXED_SEEDS, drawFaults));
    expect(losses).toEqual([]);
  });
});
