import {createRowWriter} from '@kelpstep/platform';
import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {createStandInStore} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createSuccessionRecords} from '../src/succession_records';
import {
  SUCCESSION_KEY_PREFIX,
  type Succession,
  nextEpoch,
} from '../src/succession_row';

const TABLE = 'successions';
const GROUP = 'records';
const KEY = SUCCESSION_KEY_PREFIX + GROUP;
const SECOND_MS = 1000;
const DONE: Succession = {
  epoch: 1,
  holder: 'proxy-2',
  phase: 'done',
  from: 'target-1',
  target: 'target-2',
};
const ORDERED: Succession = {
  epoch: 2,
  holder: 'proxy-2',
  phase: 'ordered',
  from: 'target-2',
  target: 'target-3',
};

function createFixture() {
  const timer = createVirtualTimer();
  const random = createRandom(1);
  const runtime = createRuntime({timer, random});
  const store = createStandInStore({timer, random, answerTime: 4});
  const client = store.clientOf('proxy-1');
  const records = createSuccessionRecords({
    runtime,
    self: 'proxy-1',
    rowWriter: createRowWriter(client, TABLE),
    table: TABLE,
    onChange: () => {},
  });
  /** Reads the table as the feed does. */
  function refresh(): void {
    client.readTable(TABLE).onSettled(read => {
      const {rows, ...position} = read.unwrap();
      records.update(new Map(rows.map(row => [row.key, row])), position);
    });
    timer.advance(10);
  }
  /** Writes the row like another proxy: the write is lost by a restore. */
  function write(succession: Succession): void {
    const puts = [{table: TABLE, key: KEY, value: succession}];
    void store.clientOf('proxy-2').transact({preconditions: [], puts});
    timer.advance(10);
    refresh();
  }
  return {timer, store, records, refresh, write};
}

describe('a succession that a restored store lacks', () => {
  test('stays in force and is written again', () => {
    const {timer, store, records, refresh, write} = createFixture();
    write(DONE);
    const copy = store.takeCopy();
    write(ORDERED);
    store.restore(copy);
    refresh();
    expect(records.get(GROUP)?.succession).toEqual(ORDERED);
    expect(records.get(GROUP)?.position.era).toEqual(1);
    timer.advance(SECOND_MS);
    refresh();
    expect(records.get(GROUP)?.succession).toEqual(ORDERED);
    expect(records.get(GROUP)?.isLost).toEqual(false);
  });

  test('is written again if its group has no row left', () => {
    const {timer, store, records, refresh, write} = createFixture();
    const copy = store.takeCopy();
    write(ORDERED);
    store.restore(copy);
    refresh();
    expect(records.get(GROUP)?.position).toEqual({era: 1, version: 0});
    timer.advance(SECOND_MS);
    refresh();
    expect(records.get(GROUP)?.isLost).toEqual(false);
  });

  test('is written again once the store accepts writes', () => {
    const {timer, store, records, refresh, write} = createFixture();
    const copy = store.takeCopy();
    write(ORDERED);
    store.restore(copy);
    refresh();
    store.faults.refused = 'all';
    timer.advance(3 * SECOND_MS);
    store.faults.refused = new Set();
    timer.advance(SECOND_MS);
    refresh();
    expect(records.get(GROUP)?.isLost).toEqual(false);
  });

  test('does not replace one of the new era', () => {
    const {timer, store, records, refresh, write} = createFixture();
    write(ORDERED);
    store.restore(store.takeCopy());
    const next = {...DONE, epoch: nextEpoch(DONE.epoch, 1)};
    write(next);
    timer.advance(SECOND_MS);
    refresh();
    expect(records.get(GROUP)?.succession).toEqual(next);
  });

  test('has a lower epoch than any change of the new era', () => {
    expect(nextEpoch(ORDERED.epoch, 0)).toEqual(ORDERED.epoch + 1);
    expect(nextEpoch(0, 1) > nextEpoch(ORDERED.epoch, 0)).toEqual(true);
    expect(nextEpoch(nextEpoch(0, 1), 1)).toEqual(nextEpoch(0, 1) + 1);
  });
});
