import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type QuotaPeer, chooseKeepers} from '../src/choose_keepers';

function peer(proxy: string, dataCentre: string, region: string): QuotaPeer {
  return {proxy, dataCentre, region, relayAddress: proxy};
}

const NORTH = [peer('n1', 'a', 'north'), peer('n2', 'b', 'north')];
const SOUTH = [peer('s1', 'c', 'south'), peer('s2', 'd', 'south')];
const SELF = peer('me', 'a', 'north');

function choose(
  candidates: readonly QuotaPeer[],
  unusable: readonly string[] = [],
) {
  const {home, others} = chooseKeepers({
    self: SELF,
    candidates,
    isUsable: ({proxy}) => !unusable.includes(proxy),
  });
  return [home.proxy, ...others.map(({proxy}) => proxy)];
}

describe('keepers of quotas', () => {
  test('are one a region, the own one first', () => {
    expect(choose([...SOUTH, ...NORTH])).toEqual(['n1', 's1']);
  });

  test('are one a data centre where there is one region', () => {
    const centres = [peer('x', 'b', 'north'), ...NORTH];
    expect(choose(centres)).toEqual(['n1', 'x']);
  });

  test('are replaced while they are not reached', () => {
    expect(choose([...NORTH, ...SOUTH], ['n1', 's1'])).toEqual(['n2', 's2']);
  });

  test('are those elsewhere while none of the own region is reached', () => {
    expect(choose([...NORTH, ...SOUTH], ['n1', 'n2'])).toEqual(['s1']);
  });

  test('are this proxy alone while no other is reached', () => {
    const all = [...NORTH, ...SOUTH];
    expect(choose(all, ['n1', 'n2', 's1', 's2'])).toEqual(['me']);
    expect(choose([])).toEqual(['me']);
  });

  test('may be this proxy itself', () => {
    expect(choose([SELF, ...SOUTH])).toEqual(['me', 's1']);
  });
});
