import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createQuotaPool} from '../src/quota_pool';

const LIMIT = {account: 'office', version: 1, rate: 20, burst: 10};
const SECOND_MS = 1000;
const BURST_INTERVAL_MS = 400;

function createPool(until = Infinity) {
  const pool = createQuotaPool({startAllowance: () => 0});
  pool.addLease({lender: 'a', part: 1, until}, 0);

  function grant(count: number, at: number): number {
    const answers = Array.from({length: count}, () => pool.take(LIMIT, at));
    return answers.filter(({kind}) => kind === 'granted').length;
  }

  return {...pool, grant};
}

describe('operations that did not run', () => {
  test('are granted again', () => {
    const {grant, giveBack} = createPool();
    expect(grant(100, 60_000)).toEqual(10);
    expect(giveBack(LIMIT, 4, 60_000, 60_040)).toEqual(true);
    expect(grant(100, 60_050)).toEqual(5);
  });

  test('add nothing to a share that has left since', () => {
    const {grant, giveBack, addLease} = createPool(60_100);
    grant(10, 60_000);
    addLease({lender: 'a', part: 1, until: Infinity}, 60_200);
    expect(giveBack(LIMIT, 10, 60_000, 60_200)).toEqual(false);
    expect(grant(100, 60_200)).toEqual(0);
  });

  test('never let more than the quota run within a window', () => {
    for (const seed of [1, 2, 3, 4]) {
      const random = createRandom(seed);
      const {take, giveBack} = createPool();
      const runs: number[] = [];
      const returns: Array<{grantedAt: number; at: number}> = [];
      let givenBack = 0;
      for (let at = 0; at < 20 * SECOND_MS; at++) {
        // Bursts at several times the quota. Returns arrive in the next burst,
        // before which the bucket has nearly filled.
        const sinceBurst = at % BURST_INTERVAL_MS;
        const isTaken =
          sinceBurst < 100 &&
          random.fraction() < 0.5 &&
          take(LIMIT, at).kind === 'granted';
        if (isTaken && random.fraction() < 0.2) {
          runs.push(at);
        } else if (isTaken) {
          const delay = BURST_INTERVAL_MS - sinceBurst;
          const dueAt = at + delay + random.integer(0, 100);
          returns.push({grantedAt: at, at: dueAt});
        }
        for (const due of returns.filter(each => each.at === at)) {
          givenBack += giveBack(LIMIT, 1, due.grantedAt, at) ? 1 : 0;
        }
      }
      const isWithin = runs.every((from, first) =>
        runs.slice(first).every((at, index) => {
          const accrued = (LIMIT.rate * (at - from)) / SECOND_MS;
          return index + 1 <= LIMIT.burst + accrued + 1 + 1e-6;
        }),
      );
      const isUsed = givenBack > 20;
      expect({seed, isWithin, isUsed}).toEqual({
        seed,
        isWithin: true,
        isUsed: true,
      });
    }
  });
});
