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

import {startInstanceWatch} from '..';

const LIST: ListedInstance[] = [
  {id: 'a', role: 'target', address: 'x', dataCentre: 'd', state: 'leaving'},
];

describe('the watch of the list of instances', () => {
  test('reads only while it is this proxy that polls, and outlives outages', () => {
    const timer = createVirtualTimer();
    const runtime = createRuntime({timer, random: createRandom(1)});
    const state = {polls: true, isOut: false, reads: 0};
    const seen: Array<readonly ListedInstance[]> = [];
    const out = Err(createFailure('PLATFORM_UNAVAILABLE'));
    const platform: Pick<PlatformClient, 'listInstances'> = {
      listInstances() {
        state.reads++;
        return settledFuture(state.isOut ? out : Ok(LIST));
      },
    };
    startInstanceWatch({
      runtime,
      platform,
      polls: () => state.polls,
      onList: list => seen.push(list),
      interval: 100,
    });
    timer.advance(1000);
    expect(seen.length).toBeGreaterThan(7);
    state.isOut = true;
    seen.length = 0;
    timer.advance(1000);
    expect(seen.length).toEqual(0);
    state.polls = false;
    timer.advance(100);
    state.reads = 0;
    timer.advance(1000);
    expect(state.reads).toEqual(0);
    state.polls = true;
    state.isOut = false;
    timer.advance(300);
    expect(seen[0]).toEqual(LIST);
  });
});
