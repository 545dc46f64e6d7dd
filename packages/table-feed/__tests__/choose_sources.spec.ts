import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  type SourceView,
  awaitsFirstCopies,
  shouldFollowStore,
  startupDelay,
} from '../src/choose_sources';

/** A proxy that has just read the rows of a fleet of 119. */
const STARTING: SourceView = {
  staleness: Infinity,
  localStaleness: Infinity,
  hasLocalDistributor: true,
  timeSinceLocalSource: 0,
  uptime: 5,
  hasAllTables: false,
  isDistributor: false,
  proxies: 119,
  isSeed: false,
  spread: 0.5,
};

describe('a starting proxy', () => {
  test('leaves named distributors 250 ms, counted from the rows', () => {
    const after = (timeSinceLocalSource: number, uptime: number) =>
      shouldFollowStore({...STARTING, timeSinceLocalSource, uptime, spread: 0});
    expect([after(249, 900), after(251, 256)]).toEqual([false, true]);
  });

  test('spreads the fallback by half a millisecond a proxy', () => {
    const delays = [0, 1].map(spread => startupDelay({...STARTING, spread}));
    expect(delays).toEqual([250, 309.5]);
  });

  test('follows the store immediately if it holds a distributor row', () => {
    expect(shouldFollowStore({...STARTING, isDistributor: true})).toEqual(true);
  });

  test('waits only for its share of the spread without a local distributor', () => {
    const view = {...STARTING, timeSinceLocalSource: undefined};
    const atUptimes = [29, 30].map(uptime =>
      shouldFollowStore({...view, uptime}),
    );
    expect([startupDelay(view), ...atUptimes]).toEqual([29.75, false, true]);
  });

  test('does not follow the store while its distributors are fresh', () => {
    const view = {...STARTING, staleness: 0.1, timeSinceLocalSource: 5000};
    expect(shouldFollowStore(view)).toEqual(false);
  });

  test('retries at short intervals until it has all tables, for 2 s at most', () => {
    const cases = [
      {hasAllTables: false, uptime: 2000},
      {hasAllTables: false, uptime: 2001},
      {hasAllTables: true, uptime: 100},
    ];
    expect(cases.map(awaitsFirstCopies)).toEqual([true, false, false]);
  });
});
