import {expect} from 'earl';
import {describe, test} from 'node:test';

import {
  Task,
  TaskHandle,
  createDeferred,
  createMailbox,
  createRandom,
  createRuntime,
  createVirtualTimer,
  receive,
  receiveWithTimeout,
  sleep,
  waitWithTimeout,
  waitFor,
} from '..';

function createVirtualRuntime() {
  const timer = createVirtualTimer();
  return {
    timer,
    runtime: createRuntime({timer, random: createRandom(1)}),
  };
}

describe('a task', () => {
  test('sleeps in virtual time', () => {
    const {timer, runtime} = createVirtualRuntime();
    const wakes: number[] = [];
    runtime.spawn(
      'sleeper',
      (function* () {
        yield* sleep(10);
        wakes.push(timer.now());
        yield* sleep(5);
        wakes.push(timer.now());
      })(),
    );
    timer.advance(12);
    expect(wakes).toEqual([10]);
    timer.advance(12);
    expect(wakes).toEqual([10, 15]);
  });

  test('advances virtual time by a delay below the clock precision', () => {
    const {timer, runtime} = createVirtualRuntime();
    timer.advance(4408.691184830663);
    const before = timer.now();
    runtime.spawn('sleeper', sleep(1e-13));
    timer.step();
    expect(timer.now()).toBeGreaterThan(before);
  });

  test('receives messages in the order in which they were posted', () => {
    const {runtime} = createVirtualRuntime();
    const mailbox = createMailbox<number>();
    const seen: number[] = [];
    runtime.spawn(
      'reader',
      (function* () {
        for (;;) {
          seen.push(yield* receive(mailbox));
        }
      })(),
    );
    mailbox.post(1);
    mailbox.post(2);
    expect(seen).toEqual([1, 2]);
  });

  test('stops waiting for a message at the timeout and loses none', () => {
    const {timer, runtime} = createVirtualRuntime();
    const mailbox = createMailbox<string>();
    const seen: Array<string | undefined> = [];
    runtime.spawn(
      'reader',
      (function* () {
        seen.push(yield* receiveWithTimeout(mailbox, 10));
        seen.push(yield* receiveWithTimeout(mailbox, 10));
      })(),
    );
    timer.advance(10);
    mailbox.post('late');
    expect(seen).toEqual([undefined, 'late']);
  });

  test('stops waiting for a future at the timeout', () => {
    const {timer, runtime} = createVirtualRuntime();
    const deferred = createDeferred<string>();
    const handle = runtime.spawn(
      'waiter',
      waitWithTimeout(deferred.future, 10),
    );
    timer.advance(11);
    const results: unknown[] = [];
    handle.result.onSettled(value => results.push(value));
    expect(results).toEqual([undefined]);
  });

  test('runs only its cleanup when it is cancelled', () => {
    const {timer, runtime} = createVirtualRuntime();
    const steps: string[] = [];
    const handle = runtime.spawn(
      'worker',
      (function* () {
        try {
          yield* sleep(10);
          steps.push('woke');
        } finally {
          steps.push('cleaned');
        }
      })(),
    );
    handle.cancel();
    timer.advance(20);
    expect(steps).toEqual(['cleaned']);
  });

  test('can cancel itself and runs its cleanup', () => {
    const {timer, runtime} = createVirtualRuntime();
    const steps: string[] = [];
    const handles: Array<TaskHandle<void>> = [];
    const handle = runtime.spawn(
      'worker',
      (function* (): Task<void> {
        try {
          yield* sleep(10);
          handles[0]?.cancel();
          steps.push('cancelled');
          yield* sleep(10);
          steps.push('woke');
        } finally {
          steps.push('cleaned');
        }
      })(),
    );
    handles.push(handle);
    timer.advance(30);
    expect(steps).toEqual(['cancelled', 'cleaned']);
  });

  test('waits for 100 000 settled futures without stack overflow', () => {
    const {runtime} = createVirtualRuntime();
    const deferred = createDeferred<number>();
    deferred.settle(1);
    let sum = 0;
    runtime.spawn(
      'adder',
      (function* () {
        for (let round = 0; round < 100_000; round++) {
          sum += yield* waitFor(deferred.future);
        }
      })(),
    );
    expect(sum).toEqual(100_000);
  });
});
