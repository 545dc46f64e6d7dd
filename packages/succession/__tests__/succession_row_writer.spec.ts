import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createStandInStore} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {Succession} from '../src/succession_row';
import {createTurn} from '../src/succession_row_writer';

const TABLE = 'successions';
const KEY = 'group/records';
const FIRST: Succession = {
  epoch: 1,
  holder: 'proxy-1',
  phase: 'stopping',
  from: 'target-1',
  target: '',
};

function startTurn() {
  const timer = createVirtualTimer();
  const random = createRandom(1);
  const runtime = createRuntime({timer, random});
  const store = createStandInStore({
    timer,
    random: random.split(),
    answerTime: 4,
  });
  const turn = createTurn(store.clientOf('proxy-1'), TABLE, KEY, 0, FIRST);
  const results: Array<{isWritten: boolean; at: number}> = [];

  function write(change: Partial<Succession>): void {
    const task = runtime.spawn('write', turn.write(change));
    task.result.onSettled(isWritten => {
      results.push({isWritten, at: timer.now()});
    });
  }

  return {timer, store, write, results};
}

describe('a turn at a group', () => {
  test('goes on at once when a write was done and its answer lost', () => {
    const {timer, store, write, results} = startTurn();
    store.faults.lostAnswers = 1;
    write({});
    timer.advance(400);
    store.faults.lostAnswers = 0;
    write({phase: 'ordered', target: 'target-2'});
    timer.advance(100);
    expect(results.map(({isWritten}) => isWritten)).toEqual([true, true]);
  });

  test('tries a write again that was not done', () => {
    const {timer, store, write, results} = startTurn();
    store.faults.lateWrites = 1;
    write({});
    timer.advance(200);
    store.faults.lateWrites = 0;
    timer.advance(10_000);
    write({phase: 'done'});
    timer.advance(100);
    expect(results.map(({isWritten}) => isWritten)).toEqual([true, true]);
  });

  test('ends when another proxy has written the row', () => {
    const {timer, store, write, results} = startTurn();
    store.put(TABLE, KEY, {...FIRST, holder: 'proxy-2'});
    write({});
    timer.advance(1000);
    expect(results.map(({isWritten}) => isWritten)).toEqual([false]);
  });

  test('ends when the store stays silent', () => {
    const {timer, store, write, results} = startTurn();
    store.faults.silent = 'all';
    write({});
    timer.advance(20_000);
    expect(results.map(({isWritten}) => isWritten)).toEqual([false]);
  });
});
