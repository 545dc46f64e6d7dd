import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createQuotaPool} from '../src/quota_pool';

const LIMIT = {account: 'office', version: 1, rate: 10, burst: 5};
const OTHER = {...LIMIT, account: 'depot'};
const LONG_MS = 1_000_000;
const SECOND_MS = 1000;

function createEmptyPool(startAllowance = 0) {
  return createQuotaPool({startAllowance: () => startAllowance});
}

/** A pool with a long lease on a share of all quotas. */
function createPool(part = 1, now = 0) {
  const pool = createEmptyPool();
  pool.addLease({lender: 'a', part, until: now + LONG_MS}, now);

  /** Number of operations granted out of `count` requested at once. */
  function grant(count: number, at: number, limit = LIMIT): number {
    const answers = Array.from({length: count}, () => pool.take(limit, at));
    return answers.filter(({kind}) => kind === 'granted').length;
  }

  return {...pool, grant};
}

describe('a fully leased quota', () => {
  test('starts without a burst, which another pool may have granted', () => {
    const {grant} = createPool();
    expect(grant(10, 0)).toEqual(0);
    expect(grant(10, 200)).toEqual(2);
  });

  test('accumulates one burst and then grants the rate', () => {
    const {grant} = createPool();
    expect(grant(100, 60_000)).toEqual(5);
    expect(grant(100, 61_000)).toEqual(10 - 5);
    expect(grant(1, 61_100)).toEqual(1);
  });

  test('grants at most the burst plus the rate over any time span', () => {
    const {grant} = createPool();
    let granted = grant(100, 10_000);
    for (let at = 10_010; at <= 15_000; at += 10) {
      granted += grant(3, at);
    }
    expect(granted <= LIMIT.burst + 5 * LIMIT.rate + 1).toEqual(true);
    expect(granted >= 5 * LIMIT.rate).toEqual(true);
  });

  test('counts operations that ran without being granted', () => {
    const {grant, charge} = createPool();
    charge(LIMIT, 4, 60_000);
    expect(grant(100, 60_000)).toEqual(1);
  });

  test('counts each account separately', () => {
    const {grant, take} = createPool();
    grant(100, 60_000);
    expect(take(OTHER, 60_000).kind).toEqual('granted');
  });

  test('applies lower and higher limits at once', () => {
    const {grant} = createPool();
    const lower = {...LIMIT, version: 2, rate: 1, burst: 1};
    const higher = {...LIMIT, version: 3, rate: 20, burst: 20};
    grant(1, 60_000);
    expect(grant(100, 60_000, lower)).toEqual(1);
    expect(grant(100, 61_000, higher)).toEqual(1 + 20 - 1);
  });

  test('applies the newest limit, also to a request with an older one', () => {
    const {grant} = createPool();
    const newer = {...LIMIT, version: 2, rate: 1, burst: 1};
    expect(grant(100, 60_000, newer)).toEqual(1);
    expect(grant(100, 62_000, LIMIT)).toEqual(1);
  });
});

describe('callers beyond a quota', () => {
  test('are told to retry one after the other', () => {
    const {take, grant} = createPool();
    grant(LIMIT.burst, 60_000);
    const waits = [1, 2, 3].map(() => {
      const answer = take(LIMIT, 60_000);
      return answer.kind === 'refused' ? answer.retryAfter : 0;
    });
    const tokenTime = SECOND_MS / LIMIT.rate;
    expect(waits).toEqual([tokenTime, 2 * tokenTime, 3 * tokenTime]);
  });

  test('are told to retry soon, also if nothing is granted', () => {
    const none = createEmptyPool().take(LIMIT, 0);
    const zero = createPool().take({...LIMIT, rate: 0, burst: 0}, LONG_MS - 1);
    for (const answer of [none, zero]) {
      const wait = answer.kind === 'refused' ? answer.retryAfter : Infinity;
      expect(wait > 0 && wait <= 2 * SECOND_MS).toEqual(true);
    }
  });
});

describe('starting processes', () => {
  const START = {lender: 'a', part: 0.5, until: LONG_MS, startOf: 'first'};

  function grant(pool: ReturnType<typeof createEmptyPool>, at: number): number {
    const answers = Array.from({length: 100}, () => pool.take(LIMIT, at));
    return answers.filter(({kind}) => kind === 'granted').length;
  }

  test('add their share of the start allowance, up to the burst', () => {
    const pool = createEmptyPool(4);
    pool.addLease(START, 0);
    expect(grant(pool, 0)).toEqual(2);
    const generous = createEmptyPool(1000);
    generous.addLease({...START, part: 1}, 0);
    expect(grant(generous, 0)).toEqual(LIMIT.burst);
  });

  test('add it once', () => {
    const pool = createEmptyPool(4);
    pool.addLease(START, 0);
    grant(pool, 0);
    pool.addLease(START, 0);
    expect(grant(pool, 0)).toEqual(0);
    pool.addLease({...START, startOf: 'second'}, 0);
    expect(grant(pool, 0)).toEqual(2);
  });
});

describe('shares of a quota', () => {
  test('grant their part, with fractions of an operation rounded up', () => {
    const {grant} = createPool(0.25);
    expect(grant(100, 60_000)).toEqual(2);
    expect(grant(100, 60_200)).toEqual(0);
    expect(grant(100, 60_400)).toEqual(1);
  });

  test('grant nothing after the lease has expired', () => {
    const pool = createEmptyPool();
    pool.addLease({lender: 'a', part: 1, until: 1000}, 0);
    expect(pool.leasedShare(999)).toEqual(1);
    expect(pool.leasedShare(1000)).toEqual(0);
    expect(pool.take(LIMIT, 60_000).kind).toEqual('refused');
  });

  test('accrue only while they are leased', () => {
    const {addLease, grant} = createPool(0.001);
    addLease({lender: 'b', part: 0.999, until: 60_200}, 60_000);
    expect(grant(100, 60_100) <= 2).toEqual(true);
  });

  test('remove their saved tokens when their lease expires', () => {
    const pool = createEmptyPool();
    pool.addLease({lender: 'a', part: 0.2, until: LONG_MS}, 0);
    pool.addLease({lender: 'b', part: 0.8, until: 60_000}, 0);
    expect(pool.take(LIMIT, 59_999).kind).toEqual('granted');
    // The other share accumulates its burst in another pool and returns.
    pool.addLease({lender: 'b', part: 0.8, until: LONG_MS}, 70_000);
    const granted = Array.from({length: 9}, () =>
      pool.take(LIMIT, 70_001),
    ).filter(({kind}) => kind === 'granted').length;
    expect(granted).toEqual(2);
  });

  test('are dropped by a reset after a process suspension', () => {
    const {reset, leasedShare: lentPart} = createPool();
    reset(10);
    expect(lentPart(10)).toEqual(0);
  });

  test('together grant at most the whole quota, whichever pools have them', () => {
    for (let seed = 1; seed <= 50; seed++) {
      const random = createRandom(seed);
      const pools = [createEmptyPool(), createEmptyPool(), createEmptyPool()];
      const lenders = ['a', 'b', 'c', 'd', 'e'];
      const until = new Map<string, number>();
      const grants: number[] = [];
      for (let now = 0; now < 30_000; now += 20) {
        for (const lender of lenders) {
          if (now >= (until.get(lender) ?? 0)) {
            const end = now + random.integer(1, 2000);
            until.set(lender, end);
            const lease = {lender, part: 1 / lenders.length, until: end};
            random.pick(pools).addLease(lease, now);
          }
        }
        for (const pool of pools) {
          if (pool.take(LIMIT, now).kind === 'granted') {
            grants.push(now);
          }
        }
      }
      const most = Math.max(
        ...grants.map(
          (start, index) =>
            grants.slice(index).filter(at => at < start + 5000).length,
        ),
      );
      // Each pool may round up one operation.
      const bound = LIMIT.burst + 5 * LIMIT.rate + pools.length;
      expect({seed, isWithin: most <= bound}).toEqual({seed, isWithin: true});
    }
  });
});
