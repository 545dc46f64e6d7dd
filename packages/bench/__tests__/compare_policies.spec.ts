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

  test('produces the same metrics for the same seed', () => {
    const [first, second] = [1, 1].map(seed =>
      runPolicy(settings, 'default', seed),
    );
    expect(first).toEqual(second);
  });

  test('serves again after its primary was killed', () => {
    const metrics = runPolicy(settings, 'default', 2);
    expect(metrics.worthBefore).toBeGreaterThan(0);
    expect(metrics.worthAfter).toBeGreaterThan(0);
    expect(metrics.writeGapMilliseconds).toBeLessThan(settings.span);
  });
});
