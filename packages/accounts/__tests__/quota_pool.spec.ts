import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createQuotaPool} from '../src/quota_pool';

const LIMIT = {account: 'office', version: 1, rate: 10, burst: 5};
const OTHER = {...LIMIT, account: 'depot'};
const LONG = 1_000_000;
const SECOND = 1000;

function createEmptyPool(startAllowance = 0) {
  return createQuotaPool({startAllowance: () => startAllowance});
}

/** A pool to which a part of all quotas is lent for long. */
function createPool(part = 1, now = 0) {
  const pool = createEmptyPool();
  pool.lend({lender: 'a', part, until: now + LONG}, now);

  /** How many of so many operations are granted at once. */
  function grant(count: number, at: number, limit = LIMIT): number {
    const answers = Array.from({length: count}, () => pool.take(limit, at));
    return answers.filter(({kind}) => kind === 'granted').length;
  }

  return {...pool, grant};
}

describe('a quota that is lent as a whole', () => {
  test('starts without a burst: another pool may have granted it', () => {
    const {grant} = createPool();
    expect(grant(10, 0)).toEqual(0);
    expect(grant(10, 200)).toEqual(2);
  });

  test('saves up one burst and then grants the rate', () => {
    const {grant} = createPool();
    expect(grant(100, 60_000)).toEqual(5);
    expect(grant(100, 61_000)).toEqual(10 - 5);
    expect(grant(1, 61_100)).toEqual(1);
  });

  test('grants at most the burst and the rate over any time', () => {
    const {grant} = createPool();
    let granted = grant(100, 10_000);
    for (let at = 10_010; at <= 15_000; at += 10) {
      granted += grant(3, at);
    }
    expect(granted <= LIMIT.burst + 5 * LIMIT.rate + 1).toEqual(true);
    expect(granted >= 5 * LIMIT.rate).toEqual(true);
  });

  test('counts what has run beyond what was granted', () => {
    const {grant, charge} = createPool();
    charge(LIMIT, 4, 60_000);
    expect(grant(100, 60_000)).toEqual(1);
  });

  test('counts accounts apart', () => {
    const {grant, take} = createPool();
    grant(100, 60_000);
    expect(take(OTHER, 60_000).kind).toEqual('granted');
  });

  test('takes a lower limit at once, and a higher one', () => {
    const {grant} = createPool();
    const lower = {...LIMIT, version: 2, rate: 1, burst: 1};
    const higher = {...LIMIT, version: 3, rate: 20, burst: 20};
    grant(1, 60_000);
    expect(grant(100, 60_000, lower)).toEqual(1);
    expect(grant(100, 61_000, higher)).toEqual(1 + 20 - 1);
  });

  test('goes by the newest limit, also if an older one is asked by', () => {
    const {grant} = createPool();
    const newer = {...LIMIT, version: 2, rate: 1, burst: 1};
    expect(grant(100, 60_000, newer)).toEqual(1);
    expect(grant(100, 62_000, LIMIT)).toEqual(1);
  });
});

describe('callers beyond a quota', () => {
  test('are told to come back one after the other', () => {
    const {take, grant} = createPool();
    grant(LIMIT.burst, 60_000);
    const waits = [1, 2, 3].map(() => {
      const answer = take(LIMIT, 60_000);
      return answer.kind === 'refused' ? answer.retryAfter : 0;
    });
    const tokenTime = SECOND / LIMIT.rate;
    expect(waits).toEqual([tokenTime, 2 * tokenTime, 3 * tokenTime]);
  });

  test('are not sent away for long, also where nothing is granted', () => {
    const none = createEmptyPool().take(LIMIT, 0);
    const zero = createPool().take({...LIMIT, rate: 0, burst: 0}, LONG - 1);
    for (const answer of [none, zero]) {
      const wait = answer.kind === 'refused' ? answer.retryAfter : Infinity;
      expect(wait > 0 && wait <= 2 * SECOND).toEqual(true);
    }
  });
});

describe('processes that start', () => {
  const START = {lender: 'a', part: 0.5, until: LONG, startOf: 'first'};

  function grant(pool: ReturnType<typeof createEmptyPool>, at: number): number {
    const answers = Array.from({length: 100}, () => pool.take(LIMIT, at));
    return answers.filter(({kind}) => kind === 'granted').length;
  }

  test('bring their part of an allowance, at most the burst', () => {
    const pool = createEmptyPool(4);
    pool.lend(START, 0);
    expect(grant(pool, 0)).toEqual(2);
    const generous = createEmptyPool(1000);
    generous.lend({...START, part: 1}, 0);
    expect(grant(generous, 0)).toEqual(LIMIT.burst);
  });

  test('bring it once', () => {
    const pool = createEmptyPool(4);
    pool.lend(START, 0);
    grant(pool, 0);
    pool.lend(START, 0);
    expect(grant(pool, 0)).toEqual(0);
    pool.lend({...START, startOf: 'second'}, 0);
    expect(grant(pool, 0)).toEqual(2);
  });
});

describe('parts of a quota', () => {
  test('grant their share, and the rest of an operation is rounded up', () => {
    const {grant} = createPool(0.25);
    expect(grant(100, 60_000)).toEqual(2);
    expect(grant(100, 60_200)).toEqual(0);
    expect(grant(100, 60_400)).toEqual(1);
  });

  test('grant nothing after the loan has ended', () => {
    const pool = createEmptyPool();
    pool.lend({lender: 'a', part: 1, until: 1000}, 0);
    expect(pool.lentPart(999)).toEqual(1);
    expect(pool.lentPart(1000)).toEqual(0);
    expect(pool.take(LIMIT, 60_000).kind).toEqual('refused');
  });

  test('gain only for the time that they were lent', () => {
    const {lend, grant} = createPool(0.001);
    lend({lender: 'b', part: 0.999, until: 60_200}, 60_000);
    expect(grant(100, 60_100) <= 2).toEqual(true);
  });

  test('that leave take along what they had saved up', () => {
    const pool = createEmptyPool();
    pool.lend({lender: 'a', part: 0.2, until: LONG}, 0);
    pool.lend({lender: 'b', part: 0.8, until: 60_000}, 0);
    expect(pool.take(LIMIT, 59_999).kind).toEqual('granted');
    // The other part saves up its burst elsewhere, and comes back.
    pool.lend({lender: 'b', part: 0.8, until: LONG}, 70_000);
    const granted = Array.from({length: 9}, () =>
      pool.take(LIMIT, 70_001),
    ).filter(({kind}) => kind === 'granted').length;
    expect(granted).toEqual(2);
  });

  test('are forgotten when the clock may have stood still', () => {
    const {reset, lentPart} = createPool();
    reset(10);
    expect(lentPart(10)).toEqual(0);
  });

  test('together grant no more than the whole, whoever has them', () => {
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
            const loan = {lender, part: 1 / lenders.length, until: end};
            random.pick(pools).lend(loan, now);
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
      // Each pool may round one operation up.
      const bound = LIMIT.burst + 5 * LIMIT.rate + pools.length;
      expect({seed, isWithin: most <= bound}).toEqual({seed, isWithin: true});
    }
  });
});
