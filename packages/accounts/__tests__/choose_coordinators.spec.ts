import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type QuotaPeer, chooseCoordinators} from '../src/choose_coordinators';

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
  const {home, others} = chooseCoordinators({
    self: SELF,
    candidates,
    isUsable: ({proxy}) => !unusable.includes(proxy),
  });
  return [home.proxy, ...others.map(({proxy}) => proxy)];
}

describe('quota coordinators', () => {
  test('are one per region, with that of the own region first', () => {
    expect(choose([...SOUTH, ...NORTH])).toEqual(['n1', 's1']);
  });

  test('are one per data centre if there is only one region', () => {
    const centres = [peer('x', 'b', 'north'), ...NORTH];
    expect(choose(centres)).toEqual(['n1', 'x']);
  });

  test('are replaced while they are unreachable', () => {
    expect(choose([...NORTH, ...SOUTH], ['n1', 's1'])).toEqual(['n2', 's2']);
  });

  test('are those of other regions while the own region is unreachable', () => {
    expect(choose([...NORTH, ...SOUTH], ['n1', 'n2'])).toEqual(['s1']);
  });

  test('are only this proxy while no other is reachable', () => {
    const all = [...NORTH, ...SOUTH];
    expect(choose(all, ['n1', 'n2', 's1', 's2'])).toEqual(['me']);
    expect(choose([])).toEqual(['me']);
  });

  test('can include this proxy', () => {
    expect(choose([SELF, ...SOUTH])).toEqual(['me', 's1']);
  });
});
