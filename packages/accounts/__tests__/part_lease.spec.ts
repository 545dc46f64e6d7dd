import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {LOAN_TIME, createPartLease} from '../src/part_lease';

const READING = {process: 'p1', time: 500};

describe('the own part of all quotas', () => {
  test('is lent once the borrower has told its clock', () => {
    const lease = createPartLease();
    expect(lease.offerTo('b', 0)).toEqual({reading: undefined});
    lease.noteReading('b', READING, 10);
    expect(lease.offerTo('b', 20)).toEqual({reading: READING});
  });

  test('is lent to no other before the loan has certainly ended', () => {
    const lease = createPartLease();
    lease.noteReading('b', READING, 10);
    lease.offerTo('b', 20);
    expect(lease.offerTo('c', 10 + LOAN_TIME - 1)).toEqual(undefined);
    expect(lease.offerTo('c', 10 + LOAN_TIME)).toEqual({reading: undefined});
  });

  test('goes to another at once as long as nothing was lent', () => {
    const lease = createPartLease();
    lease.offerTo('b', 0);
    expect(lease.offerTo('c', 1)).toEqual({reading: undefined});
  });

  test('is not offered with a reading that is too old', () => {
    const lease = createPartLease();
    lease.noteReading('b', READING, 10);
    expect(lease.offerTo('b', 10 + LOAN_TIME)).toEqual({reading: undefined});
  });
});

describe('a loan, whatever is held back or lost on the way', () => {
  interface Loan {
    readonly from: number;
    readonly until: number;
  }

  /** What a play leaves out, to show that it is needed. */
  type MissingGuard = 'none' | 'end by the reading' | 'wait for the end';

  const CLOCKS = {b: 7000, c: -300};
  type Borrower = keyof typeof CLOCKS;

  /** Plays one lender before two borrowers; gives the loans that they believe. */
  function play(seed: number, missing: MissingGuard): Record<Borrower, Loan[]> {
    const random = createRandom(seed);
    const common = createPartLease();
    const waits = missing !== 'wait for the end';
    const leases = {
      b: waits ? common : createPartLease(),
      c: waits ? common : createPartLease(),
    };
    const believed: Record<Borrower, Loan[]> = {b: [], c: []};
    const events: Array<{at: number; run: (now: number) => void}> = [];
    let wanted: Borrower = 'b';

    function later(now: number, run: (now: number) => void): void {
      const isHeldBack = random.fraction() < 0.2;
      const delay = random.integer(1, isHeldBack ? 4000 : 40);
      if (random.fraction() < 0.9) {
        events.push({at: now + delay, run});
      }
    }

    function ask(now: number, borrower: Borrower): void {
      const lease = leases[borrower];
      const clock = CLOCKS[borrower];
      const offer = lease.offerTo(borrower, now);
      if (offer === undefined) {
        return;
      }
      const {reading} = offer;
      later(now, arrivedAt => {
        if (reading !== undefined) {
          const readAt =
            missing === 'end by the reading' ? arrivedAt : reading.time - clock;
          const loan = {from: arrivedAt, until: readAt + LOAN_TIME};
          believed[borrower].push(loan);
        }
        const answer = {process: borrower, time: arrivedAt + clock};
        later(arrivedAt, receivedAt =>
          lease.noteReading(borrower, answer, receivedAt),
        );
      });
    }

    for (let now = 0; now < 40_000; now += 10) {
      events
        .filter(({at}) => at > now - 10 && at <= now)
        .forEach(({run}) => run(now));
      if (now % 300 === 0) {
        const other: Borrower = wanted === 'b' ? 'c' : 'b';
        wanted = random.fraction() < 0.1 ? other : wanted;
        ask(now, wanted);
      }
    }
    return believed;
  }

  function isBelievedTwice({b, c}: Record<Borrower, Loan[]>): boolean {
    return b.some(one =>
      c.some(
        other =>
          Math.max(one.from, other.from) < Math.min(one.until, other.until),
      ),
    );
  }

  function countTwice(missing: MissingGuard): number {
    const seeds = Array.from({length: 200}, (unused, index) => index + 1);
    return seeds.filter(seed => isBelievedTwice(play(seed, missing))).length;
  }

  test('is never believed by two borrowers at a time', () => {
    const loans = play(1, 'none');
    expect([loans.b.length > 0, loans.c.length > 0]).toEqual([true, true]);
    expect(countTwice('none')).toEqual(0);
  });

  test('would be without its end by the reading, or the wait for it', () => {
    expect(countTwice('end by the reading') > 0).toEqual(true);
    expect(countTwice('wait for the end') > 0).toEqual(true);
  });
});
