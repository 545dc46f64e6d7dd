import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createProofOutageEstimator} from '../src/proof_outage';

describe('the proof outage estimator', () => {
  test('learns from earlier outages', () => {
    const estimator = createProofOutageEstimator();
    estimator.recordState('g', 'present', 0);
    estimator.recordState('g', 'unproved', 1000);
    expect(estimator.expected('g', 1200)).toEqual(800);
    estimator.recordState('g', 'present', 1400);
    estimator.recordState('g', 'unproved', 5000);
    expect(estimator.expected('g', 5000)).toEqual(700);
    // A partition must not hold statements for as long as it lasts.
    expect(estimator.expected('g', 10_000)).toEqual(5000);
  });
});
