import {expect} from 'earl';
import {describe, test} from 'node:test';

import {runPolicy} from '..';

describe('a deployment under load with a fault', () => {
  const settings = {
    deployment: 'office',
    fault: 'kill-primary',
    load: 0.3,
    proxies: 3,
    serviceTime: 20,
    span: 2000,
  } as const;

  test('gives the same figures for the same seed', () => {
    const [first, second] = [1, 1].map(seed =>
      runPolicy(settings, 'default', seed),
    );
    expect(first).toEqual(second);
  });

  test('serves again after its primary died', () => {
    const figures = runPolicy(settings, 'default', 2);
    expect(figures.worthBefore).toBeGreaterThan(0);
    expect(figures.worthAfter).toBeGreaterThan(0);
    expect(figures.writeGapMilliseconds).toBeLessThan(settings.span);
  });
});
