import {createRowWriter} from '@kelpstep/platform';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createStandInStore} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {Succession} from '../src/succession_row';
import {createSuccessionRowWriter} from '../src/succession_row_writer';

const TABLE = 'successions';
const KEY = 'group/records';
const FIRST: Succession = {
  epoch: 1,
  holder: 'proxy-1',
  phase: 'stopping',
  from: 'target-1',
  target: '',
};

function startWriter() {
  const timer = createVirtualTimer();
  const random = createRandom(1);
  const runtime = createRuntime({timer, random});
  const store = createStandInStore({
    timer,
    random: random.split(),
    answerTime: 4,
  });
  const client = store.clientOf('proxy-1');
  const rowWriter = createSuccessionRowWriter(
    {
      store: client,
      rowWriter: createRowWriter(client, TABLE),
      table: TABLE,
      key: KEY,
    },
    {era: 0, version: 0},
    FIRST,
  );
  const results: Array<{isWritten: boolean; at: number}> = [];

  function write(change: Partial<Succession>): void {
    const task = runtime.spawn('write', rowWriter.write(change));
    task.result.onSettled(isWritten => {
      results.push({isWritten, at: timer.now()});
    });
  }

  return {timer, store, write, results};
}

describe('the writer of a succession row', () => {
  test('continues at once after a write whose answer was lost', () => {
    const {timer, store, write, results} = startWriter();
    store.faults.lostAnswerShare = 1;
    write({});
    timer.advance(400);
    store.faults.lostAnswerShare = 0;
    write({phase: 'ordered', target: 'target-2'});
    timer.advance(100);
    expect(results.map(({isWritten}) => isWritten)).toEqual([true, true]);
  });

  test('retries a write that was not applied', () => {
    const {timer, store, write, results} = startWriter();
    store.faults.lateWriteShare = 1;
    write({});
    timer.advance(200);
    store.faults.lateWriteShare = 0;
    timer.advance(10_000);
    write({phase: 'done'});
    timer.advance(100);
    expect(results.map(({isWritten}) => isWritten)).toEqual([true, true]);
  });

  test('fails when another proxy has written the row', () => {
    const {timer, store, write, results} = startWriter();
    store.put(TABLE, KEY, {...FIRST, holder: 'proxy-2'});
    write({});
    timer.advance(1000);
    expect(results.map(({isWritten}) => isWritten)).toEqual([false]);
  });

  test('fails when the store stays unresponsive', () => {
    const {timer, store, write, results} = startWriter();
    store.faults.silent = 'all';
    write({});
    timer.advance(20_000);
    expect(results.map(({isWritten}) => isWritten)).toEqual([false]);
  });
});
