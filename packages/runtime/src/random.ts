/** Seeded random numbers, so that a run can be repeated from its seed. */
import {
  unsafeUniformIntDistribution,
  xoroshiro128plus,
  type RandomGenerator,
} from 'pure-rand';

/** A source of random choices. */
export interface Random {
  /** A number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number;
  /** A whole number from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number;
  /** One of the items; the list must not be empty. */
  pick<T>(items: readonly T[]): T;
  /** `value` spread evenly over plus or minus `share` of it. */
  jitter(value: number, share: number): number;
  /** Text of hexadecimal digits, for example for identifiers. */
  hexadecimal(digits: number): string;
  /** An independent source derived from this one. */
  split(): Random;
}

const FRACTION_RANGE = 0x1000000;

/** Four 32-bit numbers: as much as a source can tell apart. */
export type WideSeed = readonly [number, number, number, number];

function createGenerator(seed: number | WideSeed): RandomGenerator {
  return typeof seed === 'number'
    ? xoroshiro128plus(seed)
    : xoroshiro128plus.fromState(seed);
}

/**
 * Creates a source that gives the same choices for the same seed. Daemons need
 * a wide one: identifiers made from equal seeds would name two requests alike.
 */
export function createRandom(seed: number | WideSeed): Random {
  const generator = createGenerator(seed);

  function integer(low: number, high: number): number {
    return unsafeUniformIntDistribution(low, high, generator);
  }

  function fraction(): number {
    return integer(0, FRACTION_RANGE - 1) / FRACTION_RANGE;
  }

  function hexadecimal(digits: number): string {
    let text = '';
    while (text.length < digits) {
      text += integer(0, 15).toString(16);
    }
    return text;
  }

  return {
    fraction,
    integer,
    pick<T>(items: readonly T[]): T {
      return items[integer(0, items.length - 1)] as T;
    },
    jitter: (value, share) => value * (1 + share * (2 * fraction() - 1)),
    hexadecimal,
    split: () => createRandom(integer(0, 0x7fffffff)),
  };
}
