import {expect} from 'earl';
import {describe, test} from 'node:test';

import {FakeProxy, createFakeNetwork} from './fake_network';

/**
 * Number of proxies; KELPSTEP_PEERS=1000 gives the figures of the decision
 * note.
 */
const PROXY_COUNT = Number(process.env.KELPSTEP_PEERS ?? 100);
const MEASUREMENT_TIME_MS = 30_000;
/**
 * Small clusters use the shortest interval, which costs more bytes per proxy.
 */
const SENT_BYTES_PER_SECOND_LIMIT = PROXY_COUNT >= 100 ? 2000 : 8000;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function allKnow(proxies: readonly FakeProxy[], count: number): boolean {
  return proxies.every(
    ({membership}) => membership.liveProxies().length === count,
  );
}

describe(`membership of ${PROXY_COUNT} proxies`, () => {
  test('converges, sends at a bounded rate and detects a failed proxy', () => {
    const network = createFakeNetwork(5, false);
    const proxies = network.addMany(PROXY_COUNT);
    const {timer} = network;
    const joined = timer.runUntil(() => allKnow(proxies, PROXY_COUNT), 60_000);
    expect(joined).toEqual(true);
    const joinedAt = timer.now();
    timer.advance(30_000);

    proxies.forEach(proxy => {
      proxy.bytesSent = 0;
      proxy.exchangesSent = 0;
    });
    timer.advance(MEASUREMENT_TIME_MS);
    const seconds = MEASUREMENT_TIME_MS / 1000;
    const rates = proxies.map(({bytesSent}) => bytesSent / seconds);
    const exchanges = proxies.map(proxy => proxy.exchangesSent / seconds);

    const [lost, ...others] = proxies;
    if (lost === undefined) {
      throw new Error('no proxies');
    }
    network.kill(lost);
    const diedAt = timer.now();
    const isDetected = timer.runUntil(
      () => allKnow(others, PROXY_COUNT - 1),
      30_000,
    );
    expect(isDetected).toEqual(true);
    const detectionTime = timer.now() - diedAt;

    const [source] = others;
    source?.leaderships.set('g', {group: 'g', term: 1, primary: 'a'});
    source?.membership.announceLeadership({group: 'g', term: 1, primary: 'a'});
    const announcedAt = timer.now();
    const isDistributed = timer.runUntil(
      () => others.every(({leaderships}) => leaderships.has('g')),
      30_000,
    );
    expect(isDistributed).toEqual(true);
    console.log(
      JSON.stringify({
        proxies: PROXY_COUNT,
        joined: Math.round(joinedAt),
        bodyBytesPerSecond: {
          median: Math.round(median(rates)),
          maximum: Math.round(Math.max(...rates)),
        },
        exchangesPerSecond: Number(median(exchanges).toFixed(2)),
        deathHeard: Math.round(detectionTime),
        newsHeard: Math.round(timer.now() - announcedAt),
      }),
    );
    expect(Math.max(...rates)).toBeLessThan(SENT_BYTES_PER_SECOND_LIMIT);
  });
});
