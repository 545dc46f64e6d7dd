import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createSuspensionDetector, createVirtualTimer} from '..';

describe('a suspension of the machine', () => {
  test('is detected as a gap between wall clock and monotonic clock', () => {
    const timer = createVirtualTimer();
    let suspendedTime = 0;
    const detector = createSuspensionDetector({
      ...timer,
      wallClock: () => timer.wallClock() + suspendedTime,
    });
    timer.advance(5000);
    expect(detector.wasSuspended()).toEqual(false);
    suspendedTime = 3000;
    expect(detector.wasSuspended()).toEqual(true);
    expect(detector.wasSuspended()).toEqual(false);
  });
});
