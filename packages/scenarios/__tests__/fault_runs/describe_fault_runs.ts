/** Random faults over a range of fixed seeds; each file runs in parallel. */
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {describeSeededRun, findFailingSeeds} from '../..';

const RUNS_PER_TEST = 25;
const TIMEOUT_MILLISECONDS = 300_000;

/** Declares the tests of `runs` seeds from `first` on. */
export function describeFaultRuns(first: number, runs: number): void {
  describe('under random faults, singly and in pairs', () => {
    for (let seed = first; seed < first + runs; seed += RUNS_PER_TEST) {
      const last = seed + RUNS_PER_TEST - 1;
      const title = `all promises hold with seeds ${seed} to ${last}`;
      test(title, {timeout: TIMEOUT_MILLISECONDS}, () => {
        const failing = findFailingSeeds(seed, RUNS_PER_TEST);
        expect(failing.map(run => describeSeededRun(run))).toEqual([]);
      });
    }
  });
}
