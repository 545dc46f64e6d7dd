import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createLargestCounts} from '..';

describe('counts by name', () => {
  test('list the largest and the sum of the others', () => {
    const counts = createLargestCounts(2);
    [...'aabbbcd'].forEach(name => counts.add(name));
    expect(counts.list()).toEqual([
      {name: 'b', count: 3},
      {name: 'a', count: 2},
      {name: undefined, count: 2},
    ]);
  });

  test('have no sum of others if all names are listed', () => {
    const counts = createLargestCounts(2);
    counts.add('a');
    expect(counts.list()).toEqual([{name: 'a', count: 1}]);
  });
});
