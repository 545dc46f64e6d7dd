import {createRandom} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {LEASE_DURATION_MS, createShareLease} from '../src/share_lease';

const READING = {process: 'p1', time: 500};

describe('the own share of all quotas', () => {
  test('is leased once the clock reading of the coordinator is known', () => {
    const lease = createShareLease();
    expect(lease.offerTo('b', 0)).toEqual({reading: undefined});
    lease.recordReading('b', READING, 10);
    expect(lease.offerTo('b', 20)).toEqual({reading: READING});
  });

  test('is leased to no other coordinator before the lease has certainly expired', () => {
    const lease = createShareLease();
    lease.recordReading('b', READING, 10);
    lease.offerTo('b', 20);
    expect(lease.offerTo('c', 10 + LEASE_DURATION_MS - 1)).toEqual(undefined);
    expect(lease.offerTo('c', 10 + LEASE_DURATION_MS)).toEqual({
      reading: undefined,
    });
  });

  test('is offered to another coordinator at once while no lease is granted', () => {
    const lease = createShareLease();
    lease.offerTo('b', 0);
    expect(lease.offerTo('c', 1)).toEqual({reading: undefined});
  });

  test('is not offered with a reading that is too old', () => {
    const lease = createShareLease();
    lease.recordReading('b', READING, 10);
    expect(lease.offerTo('b', 10 + LEASE_DURATION_MS)).toEqual({
      reading: undefined,
    });
  });
});

describe('a lease with delayed and lost messages', () => {
  interface AssumedLease {
    readonly from: number;
    readonly until: number;
  }

  /** The guard that a simulation omits, to show that it is needed. */
  type MissingGuard = 'none' | 'expiry by the reading' | 'wait for expiry';

  const CLOCKS = {b: 7000, c: -300};
  type Coordinator = keyof typeof CLOCKS;

  /**
   * Simulates one proxy and two coordinators; returns the leases they assume.
   */
  function simulate(
    seed: number,
    missing: MissingGuard,
  ): Record<Coordinator, AssumedLease[]> {
    const random = createRandom(seed);
    const shared = createShareLease();
    const waitsForExpiry = missing !== 'wait for expiry';
    const leases = {
      b: waitsForExpiry ? shared : createShareLease(),
      c: waitsForExpiry ? shared : createShareLease(),
    };
    const assumed: Record<Coordinator, AssumedLease[]> = {b: [], c: []};
    const events: Array<{at: number; run: (now: number) => void}> = [];
    let preferred: Coordinator = 'b';

    function deliver(now: number, run: (now: number) => void): void {
      const isDelayed = random.fraction() < 0.2;
      const delay = random.integer(1, isDelayed ? 4000 : 40);
      if (random.fraction() < 0.9) {
        events.push({at: now + delay, run});
      }
    }

    function offerLease(now: number, coordinator: Coordinator): void {
      const lease = leases[coordinator];
      const clock = CLOCKS[coordinator];
      const offer = lease.offerTo(coordinator, now);
      if (offer === undefined) {
        return;
      }
      const {reading} = offer;
      deliver(now, arrivedAt => {
        if (reading !== undefined) {
          const readAt =
            missing === 'expiry by the reading'
              ? arrivedAt
              : reading.time - clock;
          const assumedLease = {
            from: arrivedAt,
            until: readAt + LEASE_DURATION_MS,
          };
          assumed[coordinator].push(assumedLease);
        }
        const answer = {process: coordinator, time: arrivedAt + clock};
        deliver(arrivedAt, receivedAt =>
          lease.recordReading(coordinator, answer, receivedAt),
        );
      });
    }

    for (let now = 0; now < 40_000; now += 10) {
      events
        .filter(({at}) => at > now - 10 && at <= now)
        .forEach(({run}) => run(now));
      if (now % 300 === 0) {
        const other: Coordinator = preferred === 'b' ? 'c' : 'b';
        preferred = random.fraction() < 0.1 ? other : preferred;
        offerLease(now, preferred);
      }
    }
    return assumed;
  }

  function isAssumedTwice({
    b,
    c,
  }: Record<Coordinator, AssumedLease[]>): boolean {
    return b.some(one =>
      c.some(
        other =>
          Math.max(one.from, other.from) < Math.min(one.until, other.until),
      ),
    );
  }

  function countOverlaps(missing: MissingGuard): number {
    const seeds = Array.from({length: 200}, (unused, index) => index + 1);
    return seeds.filter(seed => isAssumedTwice(simulate(seed, missing))).length;
  }

  test('is never assumed by two coordinators at the same time', () => {
    const leases = simulate(1, 'none');
    expect([leases.b.length > 0, leases.c.length > 0]).toEqual([true, true]);
    expect(countOverlaps('none')).toEqual(0);
  });

  test('is assumed by two coordinators if a guard is omitted', () => {
    expect(countOverlaps('expiry by the reading') > 0).toEqual(true);
    expect(countOverlaps('wait for expiry') > 0).toEqual(true);
  });
});
