import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPriorityReserve} from '../src/priority_reserve';
import {createQuotaPool} from '../src/quota_pool';

const LIMIT = {account: 'office', version: 1, rate: 100, burst: 60};
const SECOND_MS = 1000;
const DURATION_MS = 20 * SECOND_MS;
/** Arrivals per second by priority: 6.3 times the quota together. */
const ARRIVAL_RATES = [30, 400, 200];
const SEEDS = [1, 2, 3, 4];

interface Grant {
  readonly at: number;
  readonly priority: number;
}

/**
 * Replays an account far beyond its quota, and takes what is left at the end.
 * Without priorities every operation has the same, which keeps no reserve.
 */
function replay(seed: number, hasPriorities: boolean) {
  const random = createRandom(seed);
  const pool = createQuotaPool({startAllowance: () => 0});
  pool.addLease({lender: 'a', part: 1, until: Infinity}, 0);
  const grants: Grant[] = [];
  const arrivals = [0, 0, 0];

  function take(priority: number, at: number): boolean {
    const answer = pool.take(LIMIT, at, hasPriorities ? priority : 0);
    if (answer.kind === 'granted') {
      grants.push({at, priority});
    }
    return answer.kind === 'granted';
  }

  for (let at = 0; at < DURATION_MS; at++) {
    // Arrivals of the same millisecond come in either order.
    for (const priority of at % 2 === 0 ? [0, 1, 2] : [2, 1, 0]) {
      if (random.fraction() < (ARRIVAL_RATES[priority] ?? 0) / SECOND_MS) {
        arrivals[priority] = (arrivals[priority] ?? 0) + 1;
        take(priority, at);
      }
    }
  }
  while (take(0, DURATION_MS)) {
    // Takes the reserve that is left.
  }
  const costly = grants.filter(
    ({at, priority}) => priority === 0 && at < DURATION_MS,
  );
  const share = costly.length / (arrivals[0] ?? 0);

  function shareOf(priority: number): number {
    const granted = grants.filter(grant => grant.priority === priority);
    return granted.length / (arrivals[priority] ?? 0);
  }

  return {grants, share, shareOf, total: grants.length};
}

/** True if the grants of no window exceed the burst and the rate. */
function areWithinQuota(grants: readonly Grant[]): boolean {
  return grants.every(({at: from}, first) =>
    grants.slice(first).every(({at}, index) => {
      const accrued = (LIMIT.rate * (at - from)) / SECOND_MS;
      // A fraction of a token is rounded up to one operation.
      return index + 1 <= LIMIT.burst + accrued + 1 + 1e-6;
    }),
  );
}

describe('an account at several times its quota', () => {
  test('has its highest priority granted, which chance does not grant', () => {
    for (const seed of SEEDS) {
      const [kept, byChance] = [replay(seed, true), replay(seed, false)];
      expect({seed, isKept: kept.share >= 0.98, share: kept.share}).toEqual({
        seed,
        isKept: true,
        share: kept.share,
      });
      expect(byChance.share < 0.5).toEqual(true);
    }
  });

  test('has priorities of similar worth granted in similar shares', () => {
    for (const seed of SEEDS) {
      const {shareOf} = replay(seed, true);
      const difference = Math.abs(shareOf(1) - shareOf(2));
      const isSimilar = difference <= 0.05 && shareOf(2) > 0;
      expect({seed, isSimilar, difference}).toEqual({
        seed,
        isSimilar: true,
        difference,
      });
    }
  });

  test('gets as much in sum as without a reserve, and never more than its quota', () => {
    for (const seed of SEEDS) {
      const [kept, byChance] = [replay(seed, true), replay(seed, false)];
      expect(kept.total).toEqual(byChance.total);
      expect(areWithinQuota(kept.grants)).toEqual(true);
    }
  });

  test('has callers of each priority retry at the rate left to it', () => {
    const pool = createQuotaPool({startAllowance: () => 0});
    const limit = {...LIMIT, rate: 10};
    pool.addLease({lender: 'a', part: 1, until: Infinity}, 0);
    pool.charge(limit, 2, 0);
    const waits = [0, 0, 1, 0, 1].map(priority => {
      const answer = pool.take(limit, 0, priority);
      return answer.kind === 'refused' ? Math.round(answer.retryAfter) : 0;
    });
    expect([waits[0], waits[1], waits[3]]).toEqual([300, 400, 500]);
    // Two arrivals leave 7.2 of 10 operations per second, three leave 5.8.
    expect(waits[2]).toEqual(Math.round((2 + 0.69 + 1) * (1000 / 7.227)));
    expect((waits[4] ?? 0) > (waits[2] ?? 0) + 100).toEqual(true);
  });

  test('has no caller retry sooner than 50 ms or later than 2 s', () => {
    const pool = createQuotaPool({startAllowance: () => 0});
    pool.addLease({lender: 'a', part: 1, until: Infinity}, 0);
    const waits = Array.from({length: 400}, (unused, index) => {
      const answer = pool.take(LIMIT, 0, index % 2);
      return answer.kind === 'refused' ? answer.retryAfter : 0;
    });
    expect(Math.min(...waits)).toEqual(50);
    expect(Math.max(...waits)).toEqual(2 * SECOND_MS);
  });
});

describe('a reserve', () => {
  test('is the arrivals of 250 ms, at most half of the bucket', () => {
    const reserve = createPriorityReserve();
    for (let at = 0; at <= 5000; at += 25) {
      reserve.recordArrival(1, at);
    }
    const kept = reserve.reserveFor(3, 1000, 5000);
    expect(Math.abs(kept - 10) < 0.5).toEqual(true);
    expect(reserve.reserveFor(3, 8, 5000)).toEqual(4);
    expect(reserve.reserveFor(3, 1000, 5500)).toEqual(kept / 2);
    expect(reserve.reserveFor(1, 1000, 5000)).toEqual(0);
  });

  test('is for operations worth at least twice as much', () => {
    const reserve = createPriorityReserve();
    reserve.recordArrival(1, 0);
    expect(reserve.reserveFor(2, 1000, 0)).toEqual(0);
    expect(reserve.reserveFor(3, 1000, 0) > 0).toEqual(true);
    reserve.recordArrival(0, 0);
    const [one, two] = [1, 2].map(each => reserve.reserveFor(each, 1000, 0));
    expect(one).toEqual(two);
    expect((one ?? 0) > 0).toEqual(true);
  });
});
