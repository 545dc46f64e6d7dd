import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  sleep,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createGate} from '../src/gate';

describe('a gate', () => {
  test('bounds who is inside and who waits, and for how long', () => {
    const timer = createVirtualTimer();
    const runtime = createRuntime({timer, random: createRandom(1)});
    const gate = createGate({places: 1, waiting: 2});
    const log: string[] = [];

    function* visit(name: string, timeout: number) {
      const entered = yield* gate.enter(timeout);
      log.push(`${name} ${entered ? 'in' : 'refused'} at ${timer.now()}`);
      if (entered) {
        yield* sleep(100);
        gate.leave();
      }
    }
    runtime.spawn('a', visit('a', 50));
    runtime.spawn('b', visit('b', 50));
    runtime.spawn('c', visit('c', 500));
    runtime.spawn('d', visit('d', 500));
    timer.advance(1000);
    expect(log).toEqual([
      'a in at 0',
      'd refused at 0',
      'b refused at 50',
      'c in at 100',
    ]);
  });
});
