import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createPinTimes} from '../src/pin_times';

describe('the time until a pinned connection is released', () => {
  test('follows from short transactions and the number of connections', () => {
    const pins = createPinTimes();
    for (let at = 0; at < 2000; at += 100) {
      pins.begin(at)(at + 100);
    }
    pins.begin(2000);
    pins.begin(2000);
    expect(pins.expectedRelease(2000)).toEqual(50);
  });

  test('grows while transactions stay idle', () => {
    const pins = createPinTimes();
    pins.begin(0)(100);
    const end = pins.begin(1000);
    expect(pins.expectedRelease(1900) >= 900).toEqual(true);
    end(2000);
    end(3000);
    expect([pins.count(), pins.expectedRelease(3000)]).toEqual([0, 0]);
  });
});
