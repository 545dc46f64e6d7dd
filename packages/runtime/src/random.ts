/** Seeded random numbers, which make a run reproducible from its seed. */
import {
  unsafeUniformIntDistribution,
  xoroshiro128plus,
  type RandomGenerator,
} from 'pure-rand';

/** A random number generator. */
export interface Random {
  /** A number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number;
  /** An integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number;
  /** One of the items; the list must not be empty. */
  pick<T>(items: readonly T[]): T;
  /** `value`, varied uniformly by up to plus or minus `ratio` times itself. */
  jitter(value: number, ratio: number): number;
  /** A string of hexadecimal digits, for example for identifiers. */
  hexadecimal(digits: number): string;
  /** An independent generator that is seeded from this one. */
  split(): Random;
}

const FRACTION_RANGE = 0x1000000;

/** A seed for the whole state of the generator: four 32-bit numbers. */
export type WideSeed = readonly [number, number, number, number];

function createGenerator(seed: number | WideSeed): RandomGenerator {
  return typeof seed === 'number'
    ? xoroshiro128plus(seed)
    : xoroshiro128plus.fromState(seed);
}

/**
 * Creates a generator whose sequence is determined by the seed. Daemons need a
 * wide seed, because processes with equal seeds would create equal request
 * identifiers.
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
    jitter: (value, ratio) => value * (1 + ratio * (2 * fraction() - 1)),
    hexadecimal,
    split: () => createRandom(integer(0, 0x7fffffff)),
  };
}
