import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPrimaryOutageEstimator} from '../src/primary_outage';

describe('a primary that is away', () => {
  test('is expected at once while none was ever known', () => {
    const primaryReturn = createPrimaryOutageEstimator();
    primaryReturn.recordState('g', 'lost', 0);
    expect(primaryReturn.expected('g', 500)).toEqual(0);
  });

  test('is expected later the shorter it is away', () => {
    const primaryReturn = createPrimaryOutageEstimator();
    primaryReturn.recordState('g', 'present', 0);
    primaryReturn.recordState('g', 'lost', 100);
    primaryReturn.recordState('g', 'lost', 400);
    expect(primaryReturn.expected('g', 100)).toEqual(1000);
    expect(primaryReturn.expected('g', 700)).toEqual(400);
    expect(primaryReturn.expected('g', 5000)).toEqual(100);
    expect(primaryReturn.expected('other', 700)).toEqual(0);
  });

  test('is expected sooner if it leaves as planned', () => {
    const primaryReturn = createPrimaryOutageEstimator();
    primaryReturn.recordState('g', 'present', 0);
    primaryReturn.recordState('g', 'leaving', 1000);
    primaryReturn.recordState('g', 'lost', 1050);
    expect(primaryReturn.expected('g', 1050)).toEqual(250);
  });

  test('is not expected later after a cut of this proxy', () => {
    const primaryReturn = createPrimaryOutageEstimator();
    primaryReturn.recordState('g', 'present', 0);
    primaryReturn.recordState('g', 'lost', 1000);
    primaryReturn.recordState('g', 'present', 9000);
    primaryReturn.recordState('g', 'lost', 20_000);
    expect(primaryReturn.expected('g', 20_000)).toEqual(1000);
  });

  test('is expected as earlier ones came back, in whichever group', () => {
    const primaryReturn = createPrimaryOutageEstimator();
    for (const start of [0, 10_000, 20_000, 30_000]) {
      primaryReturn.recordState('g', 'present', start);
      primaryReturn.recordState('g', 'lost', start + 1000);
      primaryReturn.recordState('g', 'present', start + 1200);
    }
    primaryReturn.recordState('other', 'present', 40_000);
    primaryReturn.recordState('other', 'lost', 41_000);
    expect(primaryReturn.expected('other', 41_000)).toEqual(250);
  });
});
