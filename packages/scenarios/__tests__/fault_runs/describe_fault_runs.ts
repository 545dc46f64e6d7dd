/** Runs random faults over ranges of fixed seeds; the files run in parallel. */
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {describeSeededRun, findFailingSeeds} from '../..';

const RUNS_PER_TEST = 25;
const TIMEOUT_MS = 300_000;

/** Declares tests for `runs` consecutive seeds, starting at `first`. */
export function describeFaultRuns(first: number, runs: number): void {
  describe('under one or two random faults', () => {
    for (let seed = first; seed < first + runs; seed += RUNS_PER_TEST) {
      const last = seed + RUNS_PER_TEST - 1;
      const title = `all invariants hold with seeds ${seed} to ${last}`;
      test(title, {timeout: TIMEOUT_MS}, () => {
        const failing = findFailingSeeds(seed, RUNS_PER_TEST);
        expect(failing.map(run => describeSeededRun(run))).toEqual([]);
      });
    }
  });
}
