import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createRandom} from '..';

describe('a random number generator', () => {
  test('produces the same sequence for the same wide seed', () => {
    const first = createRandom([1, 2, 3, 4]);
    const second = createRandom([1, 2, 3, 4]);
    expect(first.hexadecimal(32)).toEqual(second.hexadecimal(32));
  });

  test('produces another sequence if any number of a wide seed differs', () => {
    const texts = [
      createRandom([1, 2, 3, 4]),
      createRandom([9, 2, 3, 4]),
      createRandom([1, 9, 3, 4]),
      createRandom([1, 2, 9, 4]),
      createRandom([1, 2, 3, 9]),
    ].map(random => random.hexadecimal(32));
    expect(new Set(texts).size).toEqual(texts.length);
  });
});
