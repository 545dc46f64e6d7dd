import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createSuspensionGuard, createVirtualTimer} from '..';

describe('a suspension of the machine', () => {
  test('is detected as a gap between wall clock and monotonic clock', () => {
    const timer = createVirtualTimer();
    let slept = 0;
    const guard = createSuspensionGuard({
      ...timer,
      wallClock: () => timer.wallClock() + slept,
    });
    timer.advance(5000);
    expect(guard.hasSlept()).toEqual(false);
    slept = 3000;
    expect(guard.hasSlept()).toEqual(true);
    expect(guard.hasSlept()).toEqual(false);
  });
});
