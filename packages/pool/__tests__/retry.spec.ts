import {createRandom, createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  createExponentialBackoff,
  createRetryBudget,
  spreadRetryAfter,
} from '..';

describe('a retry budget', () => {
  test('allows a share of the first attempts and a minimum per second', () => {
    const timer = createVirtualTimer();
    const settings = {ratio: 0.5, minimumPerSecond: 2, capacity: 3};
    const budget = createRetryBudget(timer, settings);
    const spent = [1, 2, 3, 4].map(() => budget.withdraw());
    expect(spent).toEqual([true, true, true, false]);
    budget.deposit();
    budget.deposit();
    expect([budget.withdraw(), budget.withdraw()]).toEqual([true, false]);
    timer.advance(1000);
    expect([1, 2, 3].map(() => budget.withdraw())).toEqual([true, true, false]);
  });
});

describe('the delay before a retry', () => {
  test('grows exponentially and stays within its bounds', () => {
    const random = createRandom(1);
    const backoff = createExponentialBackoff({first: 10, longest: 100});
    for (let attempt = 1; attempt < 30; attempt++) {
      const full = Math.min(100, 10 * 2 ** (attempt - 1));
      const wait = backoff(attempt, random);
      expect(wait >= full / 2 && wait <= full).toEqual(true);
    }
  });

  test('is spread over the time that serving the refused requests takes', () => {
    const random = createRandom(1);
    const load = {drainTime: 200, refusedTime: 1000};
    const times = Array.from({length: 100}, () =>
      spreadRetryAfter(load, random),
    );
    expect(Math.min(...times) >= 200).toEqual(true);
    expect(Math.max(...times) <= 1200).toEqual(true);
    expect(Math.max(...times) - Math.min(...times) > 800).toEqual(true);
  });
});
