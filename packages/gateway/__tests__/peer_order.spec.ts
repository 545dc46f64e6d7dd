import {createRandom} from '@kelpstep/runtime';
import type {PresentProxy} from '@kelpstep/table-feed';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPeerLatencyTracker} from '../src/relay/peer_latency';
import {
  type PeerRank,
  nearestFirst,
  roundTripBetween,
} from '../src/relay/peer_order';

const ROUNDS = 200;
const USUAL = 25;
const SLOW = 900;

function peer(proxy: string, dataCentre: string, region: string): PresentProxy {
  return {proxy, dataCentre, region, address: proxy, relayAddress: proxy};
}

describe('peers in the order in which they are asked', () => {
  const peers = [
    peer('far-1', 'd', 'south'),
    peer('near-1', 'b', 'north'),
    peer('here-1', 'a', 'north'),
    peer('far-2', 'e', 'south'),
    peer('near-2', 'c', 'north'),
    peer('here-2', 'a', 'north'),
  ];
  const from = {dataCentre: 'a', region: 'north'};

  function orders(isSlow: (asked: PresentProxy) => boolean): string[][] {
    const random = createRandom(1);
    const rankOf = (asked: PresentProxy): PeerRank => ({
      roundTrip: roundTripBetween(from, asked),
      isSlow: isSlow(asked),
    });
    return Array.from({length: ROUNDS}, () =>
      nearestFirst(random, peers, rankOf).map(({proxy}) => proxy),
    );
  }

  test('start in the data centre, then in the region', () => {
    for (const order of orders(() => false)) {
      const places = order.map(proxy => proxy.slice(0, -2));
      expect(places).toEqual(['here', 'here', 'near', 'near', 'far', 'far']);
    }
  });

  test('share the load of what is equally near', () => {
    const firsts = orders(() => false).map(([first]) => first);
    const share = firsts.filter(name => name === 'here-1').length / ROUNDS;
    expect(share > 0.4 && share < 0.6).toEqual(true);
  });

  test('end with slow ones, also if these are near', () => {
    for (const order of orders(({proxy}) => proxy === 'here-1')) {
      expect(order.at(-1)).toEqual('here-1');
    }
  });
});

describe('a peer', () => {
  const asked = {group: 'records', proxy: 'a', roundTrip: 1};
  const others = ['b', 'c', 'd'].map(proxy => ({...asked, proxy}));

  /** Statements to all of them, one of which takes its own time. */
  function measured(time: number) {
    const load = createPeerLatencyTracker();
    for (let count = 0; count < ROUNDS; count++) {
      others.forEach(other => load.begin(other, 0)(USUAL));
      load.begin(asked, 0)(time);
    }
    return load;
  }

  test('is slow if it takes much longer than its group', () => {
    expect(measured(SLOW).isSlow(asked, SLOW)).toEqual(true);
    expect(measured(USUAL + 30).isSlow(asked, USUAL)).toEqual(false);
  });

  test('is not slow for one statement that took long', () => {
    const load = measured(USUAL);
    load.begin(asked, 0)(SLOW / 2);
    expect(load.isSlow(asked, SLOW / 2)).toEqual(false);
  });

  test('is slow while a statement waits there for long', () => {
    const load = measured(USUAL);
    const end = load.begin(asked, 100);
    expect(load.isSlow(asked, 100 + USUAL)).toEqual(false);
    expect(load.isSlow(asked, 100 + SLOW)).toEqual(true);
    end(200);
    expect(load.isSlow(asked, 300)).toEqual(false);
  });

  test('is tried again some time after it was slow', () => {
    const load = measured(SLOW);
    expect(load.isSlow(asked, 2000)).toEqual(true);
    expect(load.isSlow(asked, 60_000)).toEqual(false);
  });

  test('of another region is not slow for the way there', () => {
    const load = measured(USUAL);
    const far = {...asked, proxy: 'far', roundTrip: 40};
    load.begin(far, 0)(USUAL + 40);
    expect(load.isSlow(far, 100)).toEqual(false);
  });
});
