import type {Membership} from '@kelpstep/membership';
import type {ProxyIdentity} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createResponsibilities} from '..';

function identity(proxy: string): ProxyIdentity {
  return {proxy, incarnation: 'x', dataCentre: 'east', address: `${proxy}:1`};
}

/** Creates a membership in which the ranking of the proxies can be changed. */
function createFixture(names: readonly string[]) {
  const listeners: Array<() => void> = [];
  const counts = {rankings: 0};
  let order = names.map(identity);
  const membership: Membership = {
    self: identity('b'),
    liveProxies: () => order,
    responsibleFor(unusedName, count) {
      counts.rankings++;
      return order.slice(0, count);
    },
    isResponsible: (unusedName, count) =>
      order.slice(0, count).some(({proxy}) => proxy === 'b'),
    onChange(listener) {
      listeners.push(listener);
      return () => {};
    },
  };
  return {
    counts,
    responsibilities: createResponsibilities(membership),
    change(next: readonly string[]) {
      order = next.map(identity);
      listeners.forEach(listener => listener());
    },
  };
}

describe('the rank of a failure detector', () => {
  test('is computed once while the proxies stay the same', () => {
    const {responsibilities, counts} = createFixture(['a', 'b', 'c', 'd']);
    const ranks = [1, 2, 3].map(() => responsibilities.watchRank('g'));
    expect(ranks).toEqual([1, 1, 1]);
    expect(counts.rankings).toEqual(1);
  });

  test('is updated with each change of the proxies', () => {
    const {responsibilities, change} = createFixture(['a', 'b', 'c', 'd']);
    expect(responsibilities.watchRank('g')).toEqual(1);
    change(['b', 'c', 'd']);
    expect(responsibilities.watchRank('g')).toEqual(0);
    change(['c', 'd', 'e', 'b']);
    expect(responsibilities.watchRank('g')).toEqual(undefined);
  });
});
