import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPrimaryOutageEstimator} from '../src/primary_outage';

describe('the primary outage estimator', () => {
  test('expects no outage while no primary was ever known', () => {
    const estimator = createPrimaryOutageEstimator();
    estimator.recordState('g', 'lost', 0);
    expect(estimator.expected('g', 500)).toEqual(0);
  });

  test('expects less remaining time the longer an outage lasts', () => {
    const estimator = createPrimaryOutageEstimator();
    estimator.recordState('g', 'present', 0);
    estimator.recordState('g', 'lost', 100);
    estimator.recordState('g', 'lost', 400);
    expect(estimator.expected('g', 100)).toEqual(1000);
    expect(estimator.expected('g', 700)).toEqual(400);
    expect(estimator.expected('g', 5000)).toEqual(100);
    expect(estimator.expected('other', 700)).toEqual(0);
  });

  test('expects an outage by a planned change to end sooner', () => {
    const estimator = createPrimaryOutageEstimator();
    estimator.recordState('g', 'present', 0);
    estimator.recordState('g', 'leaving', 1000);
    estimator.recordState('g', 'lost', 1050);
    expect(estimator.expected('g', 1050)).toEqual(250);
  });

  test('ignores the duration of an outage by a network partition', () => {
    const estimator = createPrimaryOutageEstimator();
    estimator.recordState('g', 'present', 0);
    estimator.recordState('g', 'lost', 1000);
    estimator.recordState('g', 'present', 9000);
    estimator.recordState('g', 'lost', 20_000);
    expect(estimator.expected('g', 20_000)).toEqual(1000);
  });

  test('learns from the duration of earlier outages in any group', () => {
    const estimator = createPrimaryOutageEstimator();
    for (const start of [0, 10_000, 20_000, 30_000]) {
      estimator.recordState('g', 'present', start);
      estimator.recordState('g', 'lost', start + 1000);
      estimator.recordState('g', 'present', start + 1200);
    }
    estimator.recordState('other', 'present', 40_000);
    estimator.recordState('other', 'lost', 41_000);
    expect(estimator.expected('other', 41_000)).toEqual(250);
  });
});
