import {
  createRandom,
  createRuntime,
  createVirtualTimer,
  sleep,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createConcurrencyLimiter} from '../src/concurrency_limiter';

describe('concurrency limiter', () => {
  test('bounds running tasks, waiting tasks and the time they wait', () => {
    const timer = createVirtualTimer();
    const runtime = createRuntime({timer, random: createRandom(1)});
    const limiter = createConcurrencyLimiter({
      maximumConcurrent: 1,
      maximumWaiting: 2,
    });
    const log: string[] = [];

    function* runTask(name: string, timeout: number) {
      const isAcquired = yield* limiter.acquire(timeout);
      log.push(
        `${name} ${isAcquired ? 'acquired' : 'refused'} at ${timer.now()}`,
      );
      if (isAcquired) {
        yield* sleep(100);
        limiter.release();
      }
    }
    runtime.spawn('a', runTask('a', 50));
    runtime.spawn('b', runTask('b', 50));
    runtime.spawn('c', runTask('c', 500));
    runtime.spawn('d', runTask('d', 500));
    timer.advance(1000);
    expect(log).toEqual([
      'a acquired at 0',
      'd refused at 0',
      'b refused at 50',
      'c acquired at 100',
    ]);
  });
});
