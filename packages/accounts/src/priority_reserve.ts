/**
 * Reserve of a token bucket for operations of higher priority. Does no I/O.
 *
 * Load pattern: one account sends many times its quota on routes of different
 * priority, and its costliest route gets a share of the quota by chance. The
 * reserve is for operations worth at least twice as much: between neighbours
 * such as priorities 1 and 2 it would refuse nearly all of the lower one for a
 * small gain.
 */
import {worthOfPriority} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** Recent arrivals of one account's operations. Priority 0 is the highest. */
export interface PriorityReserve {
  /** Records the arrival of an operation, granted or not. */
  recordArrival(priority: number, now: Milliseconds): void;
  /** Arrivals per second of operations that `priority` yields to. */
  higherRate(priority: number, now: Milliseconds): number;
  /**
   * Tokens that an operation of `priority` must leave in a bucket that holds at
   * most `capacity` tokens.
   */
  reserveFor(priority: number, capacity: number, now: Milliseconds): number;
}

/**
 * Half-life of the arrival rate: long enough to span the retry times of most
 * callers, short enough to follow the start of a burst.
 */
const ARRIVAL_HALF_LIFE_MS: Milliseconds = 500;
/**
 * Time for which arrivals of higher priority find tokens reserved. Operations
 * of lower priority that take all tokens at once are refilled for within it.
 */
const RESERVED_TIME_MS: Milliseconds = 250;
/** Worth of an operation, relative to another, from which the other yields. */
const YIELD_WORTH_RATIO = 2;
/** Maximum reserve, as a share of what the bucket may hold. */
const MAXIMUM_RESERVE_RATIO = 0.5;
const SECOND_MS: Milliseconds = 1000;

interface DecayingCount {
  count: number;
  countedAt: Milliseconds;
}

function decayedCount(
  {count, countedAt}: DecayingCount,
  now: Milliseconds,
): number {
  return count * 2 ** (-Math.max(0, now - countedAt) / ARRIVAL_HALF_LIFE_MS);
}

function yieldsTo(priority: number, other: number): boolean {
  const ratio = worthOfPriority(other) / worthOfPriority(priority);
  return ratio >= YIELD_WORTH_RATIO;
}

/** Creates a reserve without arrivals, which reserves nothing. */
export function createPriorityReserve(): PriorityReserve {
  const arrivals = new Map<number, DecayingCount>();

  /** Arrivals per millisecond that `priority` yields to. */
  function higherArrivals(priority: number, now: Milliseconds): number {
    let count = 0;
    for (const [other, counted] of arrivals) {
      count += yieldsTo(priority, other) ? decayedCount(counted, now) : 0;
    }
    return (count * Math.LN2) / ARRIVAL_HALF_LIFE_MS;
  }

  return {
    recordArrival(priority, now) {
      const known = arrivals.get(priority) ?? {count: 0, countedAt: now};
      known.count = decayedCount(known, now) + 1;
      known.countedAt = now;
      arrivals.set(priority, known);
    },
    higherRate: (priority, now) => higherArrivals(priority, now) * SECOND_MS,
    reserveFor: (priority, capacity, now) =>
      Math.min(
        capacity * MAXIMUM_RESERVE_RATIO,
        higherArrivals(priority, now) * RESERVED_TIME_MS,
      ),
  };
}
