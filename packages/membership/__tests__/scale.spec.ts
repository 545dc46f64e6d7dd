import {expect} from 'earl';
import {describe, test} from 'node:test';

import {FakeProxy, createFakeNetwork} from './fake_network';

/** More with KELPSTEP_PEERS=1000, as the decision note's figures were made. */
const PROXIES = Number(process.env.KELPSTEP_PEERS ?? 100);
const MEASURED_TIME = 30_000;
/** Few proxies keep the shortest interval, which costs more. */
const SENT_BYTES_LIMIT = PROXIES >= 100 ? 2000 : 8000;

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function knowAll(proxies: readonly FakeProxy[], count: number): boolean {
  return proxies.every(
    ({membership}) => membership.liveProxies().length === count,
  );
}

describe(`membership of ${PROXIES} proxies`, () => {
  test('converges, costs a bounded rate and hears of a death', () => {
    const network = createFakeNetwork(5, false);
    const proxies = network.addMany(PROXIES);
    const {timer} = network;
    const joined = timer.runUntil(() => knowAll(proxies, PROXIES), 60_000);
    expect(joined).toEqual(true);
    const joinedAt = timer.now();
    timer.advance(30_000);

    proxies.forEach(proxy => {
      proxy.bytesSent = 0;
      proxy.exchangesSent = 0;
    });
    timer.advance(MEASURED_TIME);
    const seconds = MEASURED_TIME / 1000;
    const rates = proxies.map(({bytesSent}) => bytesSent / seconds);
    const exchanges = proxies.map(proxy => proxy.exchangesSent / seconds);

    const [lost, ...others] = proxies;
    if (lost === undefined) {
      throw new Error('no proxies');
    }
    network.kill(lost);
    const diedAt = timer.now();
    const heard = timer.runUntil(() => knowAll(others, PROXIES - 1), 30_000);
    expect(heard).toEqual(true);
    const deathHeard = timer.now() - diedAt;

    const [source] = others;
    source?.leaderships.set('g', {group: 'g', term: 1, primary: 'a'});
    source?.membership.announceLeadership({group: 'g', term: 1, primary: 'a'});
    const announcedAt = timer.now();
    const spread = timer.runUntil(
      () => others.every(({leaderships}) => leaderships.has('g')),
      30_000,
    );
    expect(spread).toEqual(true);
    console.log(
      JSON.stringify({
        proxies: PROXIES,
        joined: Math.round(joinedAt),
        bodyBytesPerSecond: {
          median: Math.round(median(rates)),
          maximum: Math.round(Math.max(...rates)),
        },
        exchangesPerSecond: Number(median(exchanges).toFixed(2)),
        deathHeard: Math.round(deathHeard),
        newsHeard: Math.round(timer.now() - announcedAt),
      }),
    );
    expect(Math.max(...rates)).toBeLessThan(SENT_BYTES_LIMIT);
  });
});
