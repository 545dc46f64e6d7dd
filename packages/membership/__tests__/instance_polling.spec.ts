import type {PlatformClient} from '@kelpstep/platform';
import {ListedInstance, createFailure} from '@kelpstep/protocol';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';
import {Err, Ok} from 'ts-results';

import {startInstancePolling} from '..';

const LIST: ListedInstance[] = [
  {id: 'a', role: 'target', address: 'x', dataCentre: 'd', state: 'leaving'},
];

describe('polling of the instance list', () => {
  test('runs only while this proxy is responsible and continues after outages', () => {
    const timer = createVirtualTimer();
    const runtime = createRuntime({timer, random: createRandom(1)});
    const state = {polls: true, isUnavailable: false, reads: 0};
    const seen: Array<readonly ListedInstance[]> = [];
    const unavailable = Err(createFailure('PLATFORM_UNAVAILABLE'));
    const platform: Pick<PlatformClient, 'listInstances'> = {
      listInstances() {
        state.reads++;
        return settledFuture(state.isUnavailable ? unavailable : Ok(LIST));
      },
    };
    startInstancePolling({
      runtime,
      platform,
      polls: () => state.polls,
      onList: list => seen.push(list),
      interval: 100,
    });
    timer.advance(1000);
    expect(seen.length).toBeGreaterThan(7);
    state.isUnavailable = true;
    seen.length = 0;
    timer.advance(1000);
    expect(seen.length).toEqual(0);
    state.polls = false;
    timer.advance(100);
    state.reads = 0;
    timer.advance(1000);
    expect(state.reads).toEqual(0);
    state.polls = true;
    state.isUnavailable = false;
    timer.advance(300);
    expect(seen[0]).toEqual(LIST);
  });
});
