import {createRandom} from '@kelpstep/runtime';
import type {ProxyDescriptor} from '@kelpstep/table-feed';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPeerLatencyTracker} from '../src/relay/peer_latency';
import {
  type PeerRank,
  nearestFirst,
  roundTripBetween,
} from '../src/relay/peer_order';

const ROUNDS = 200;
const USUAL_TIME_MS = 25;
const SLOW_TIME_MS = 900;

function peer(
  proxy: string,
  dataCentre: string,
  region: string,
): ProxyDescriptor {
  return {proxy, dataCentre, region, address: proxy, relayAddress: proxy};
}

describe('the order in which peers are tried', () => {
  const peers = [
    peer('far-1', 'd', 'south'),
    peer('near-1', 'b', 'north'),
    peer('here-1', 'a', 'north'),
    peer('far-2', 'e', 'south'),
    peer('near-2', 'c', 'north'),
    peer('here-2', 'a', 'north'),
  ];
  const from = {dataCentre: 'a', region: 'north'};

  function orders(isSlow: (candidate: ProxyDescriptor) => boolean): string[][] {
    const random = createRandom(1);
    const rankOf = (candidate: ProxyDescriptor): PeerRank => ({
      roundTrip: roundTripBetween(from, candidate),
      isSlow: isSlow(candidate),
    });
    return Array.from({length: ROUNDS}, () =>
      nearestFirst(random, peers, rankOf).map(({proxy}) => proxy),
    );
  }

  test('starts in the data centre, then in the region', () => {
    for (const order of orders(() => false)) {
      const distances = order.map(proxy => proxy.slice(0, -2));
      expect(distances).toEqual(['here', 'here', 'near', 'near', 'far', 'far']);
    }
  });

  test('shares the load between peers that are equally near', () => {
    const firsts = orders(() => false).map(([first]) => first);
    const share = firsts.filter(name => name === 'here-1').length / ROUNDS;
    expect(share > 0.4 && share < 0.6).toEqual(true);
  });

  test('keeps an account at the same peer of each distance', () => {
    const random = createRandom(1);
    const rankOf = (candidate: ProxyDescriptor): PeerRank => ({
      roundTrip: roundTripBetween(from, candidate),
      isSlow: false,
    });
    const firstOf = (account: string) =>
      nearestFirst(random, peers, rankOf, account)[0]?.proxy;
    const accounts = Array.from({length: ROUNDS}, (unused, at) => `a${at}`);
    const firsts = accounts.map(firstOf);
    expect(accounts.map(firstOf)).toEqual(firsts);
    const share = firsts.filter(name => name === 'here-1').length / ROUNDS;
    expect(share > 0.35 && share < 0.65).toEqual(true);
  });

  test('prefers a far peer to the reported wait of a near one', () => {
    const rankOf = (candidate: ProxyDescriptor): PeerRank => ({
      roundTrip: roundTripBetween(from, candidate),
      isSlow: false,
      wait: candidate.dataCentre === 'a' ? 200 : undefined,
    });
    const order = nearestFirst(createRandom(1), peers, rankOf);
    expect(order.slice(-2).map(({dataCentre}) => dataCentre)).toEqual([
      'a',
      'a',
    ]);
  });

  test('ends with slow peers, even if they are near', () => {
    for (const order of orders(({proxy}) => proxy === 'here-1')) {
      expect(order.at(-1)).toEqual('here-1');
    }
  });
});

describe('a peer', () => {
  const measuredPeer = {group: 'records', proxy: 'a', roundTrip: 1};
  const others = ['b', 'c', 'd'].map(proxy => ({...measuredPeer, proxy}));

  /** Tracks all peers; statements of `measuredPeer` take the given time. */
  function createTracker(time: number) {
    const tracker = createPeerLatencyTracker();
    for (let count = 0; count < ROUNDS; count++) {
      others.forEach(other => tracker.begin(other, 0)(USUAL_TIME_MS));
      tracker.begin(measuredPeer, 0)(time);
    }
    return tracker;
  }

  test('is slow if it takes much longer than its workload', () => {
    expect(
      createTracker(SLOW_TIME_MS).isSlow(measuredPeer, SLOW_TIME_MS),
    ).toEqual(true);
    expect(
      createTracker(USUAL_TIME_MS + 30).isSlow(measuredPeer, USUAL_TIME_MS),
    ).toEqual(false);
  });

  test('is not slow because of one slow statement', () => {
    const tracker = createTracker(USUAL_TIME_MS);
    tracker.begin(measuredPeer, 0)(SLOW_TIME_MS / 2);
    expect(tracker.isSlow(measuredPeer, SLOW_TIME_MS / 2)).toEqual(false);
  });

  test('is slow while a statement is unanswered for long', () => {
    const tracker = createTracker(USUAL_TIME_MS);
    const end = tracker.begin(measuredPeer, 100);
    expect(tracker.isSlow(measuredPeer, 100 + USUAL_TIME_MS)).toEqual(false);
    expect(tracker.isSlow(measuredPeer, 100 + SLOW_TIME_MS)).toEqual(true);
    end(200);
    expect(tracker.isSlow(measuredPeer, 300)).toEqual(false);
  });

  test('is tried again some time after it was slow', () => {
    const tracker = createTracker(SLOW_TIME_MS);
    expect(tracker.isSlow(measuredPeer, 2000)).toEqual(true);
    expect(tracker.isSlow(measuredPeer, 60_000)).toEqual(false);
  });

  test('in another region is not slow because of the round trip', () => {
    const tracker = createTracker(USUAL_TIME_MS);
    const far = {...measuredPeer, proxy: 'far', roundTrip: 40};
    tracker.begin(far, 0)(USUAL_TIME_MS + 40);
    expect(tracker.isSlow(far, 100)).toEqual(false);
  });
});
