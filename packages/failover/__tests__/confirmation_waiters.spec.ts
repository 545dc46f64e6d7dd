import {createVirtualTimer} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createConfirmationWaiters} from '../src/confirmation_waiters';
import {ConfirmedLog, NOTHING_CONFIRMED} from '..';

function setUp() {
  const timer = createVirtualTimer();
  let confirmed: ConfirmedLog = NOTHING_CONFIRMED;
  const waiters = createConfirmationWaiters(timer, () => confirmed);
  const fates: string[] = [];
  function wait(position: number, term = 5, deadline = 100): void {
    waiters
      .wait({term, position}, deadline)
      .onSettled(fate => fates.push(`${term}/${position} ${fate}`));
  }
  function advance(position: number): void {
    confirmed = {
      at: {term: 5, position},
      history: [
        {term: 2, firstPosition: 1},
        {term: 5, firstPosition: 4},
      ],
    };
    waiters.advance(confirmed);
  }
  return {timer, waiters, fates, wait, advance};
}

describe('waiters for confirmation', () => {
  test('are settled in the order of their records once confirmed', () => {
    const {waiters, fates, wait, advance} = setUp();
    [7, 5, 9, 6].forEach(position => wait(position));
    advance(7);
    expect(fates).toEqual(['5/5 confirmed', '5/6 confirmed', '5/7 confirmed']);
    expect(waiters.size()).toEqual(1);
  });

  test('are superseded if the log of a newer term lacks their record', () => {
    const {fates, wait, advance} = setUp();
    wait(3, 2);
    wait(4, 2);
    wait(4, 3);
    advance(4);
    expect(fates).toEqual([
      '2/3 confirmed',
      '2/4 superseded',
      '3/4 superseded',
    ]);
  });

  test('are undecided at their deadline', () => {
    const {timer, waiters, fates, wait, advance} = setUp();
    wait(6, 5, 50);
    wait(5);
    timer.advance(60);
    advance(5);
    expect(fates).toEqual(['5/6 undecided', '5/5 confirmed']);
    expect(waiters.size()).toEqual(0);
  });

  test('are settled immediately if the record is already confirmed', () => {
    const {fates, wait, advance} = setUp();
    advance(9);
    wait(9);
    expect(fates).toEqual(['5/9 confirmed']);
  });

  test('stay in order over many batches', () => {
    const {fates, wait, advance} = setUp();
    for (let batch = 0; batch < 50; batch++) {
      const from = 10 + batch * 100;
      for (let position = from; position < from + 200; position += 2) {
        wait(position);
      }
      advance(from + 99);
    }
    expect(fates.length).toEqual(50 * 100 - 50);
  });
});
