import {
  type VirtualTimer,
  createRandom,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {type StandInStore, createStandInStore} from '@kelpstep/stand-ins';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type RowWriter, createRowWriter} from '../src/row_writer';
import type {StorePosition} from '../src/table_store';

const TABLE = 'rows';
const KEY = 'leases/1';
const ANSWER_TIME_MS = 4;

interface Fixture {
  readonly timer: VirtualTimer;
  readonly store: StandInStore;
  writer(name: string): RowWriter;
  /** Writes the row; returns its position, or the reason of the failure. */
  write(
    writer: RowWriter,
    expected: StorePosition,
    value: string,
  ): StorePosition | string;
  value(): unknown;
}

function createFixture(): Fixture {
  const timer = createVirtualTimer();
  const random = createRandom(1);
  const answerTime = ANSWER_TIME_MS;
  const store = createStandInStore({timer, random, answerTime});
  const writer = (name: string) => createRowWriter(store.clientOf(name), TABLE);

  return {
    timer,
    store,
    writer,
    write(rowWriter, expected, value) {
      let result: StorePosition | string = 'unsettled';
      rowWriter.replaceRow(TABLE, KEY, expected, value).onSettled(written => {
        result = written.val;
      });
      timer.advance(2 * ANSWER_TIME_MS);
      return result;
    },
    value() {
      let value: unknown;
      store
        .clientOf('reader')
        .readTable(TABLE)
        .onSettled(read => {
          value = read.unwrap().rows.find(({key}) => key === KEY)?.value;
        });
      timer.advance(2 * ANSWER_TIME_MS);
      return value;
    },
  };
}

describe('a row of a store that was restored from a copy', () => {
  test('is not overwritten because its version was given out again', () => {
    const {store, writer, write, value} = createFixture();
    const copy = store.takeCopy();
    const first = writer('proxy-1');
    const lost = write(first, {era: 0, version: 0}, 'lost');
    store.restore(copy);
    const taken = write(writer('proxy-2'), {era: 1, version: 0}, 'taken');
    expect(taken).toEqual({era: 1, version: 1});
    expect(lost).toEqual({era: 0, version: 1});
    expect(write(first, {era: 0, version: 1}, 'overwritten')).toEqual(
      'conflict',
    );
    expect(value()).toEqual('taken');
  });

  test('is not overwritten by a call that is executed late', () => {
    const {timer, store, writer, write, value} = createFixture();
    const copy = store.takeCopy();
    const first = writer('proxy-1');
    write(first, {era: 0, version: 0}, 'lost');
    store.faults.lateWriteShare = 1;
    write(first, {era: 0, version: 1}, 'late');
    store.faults.lateWriteShare = 0;
    store.restore(copy);
    write(writer('proxy-2'), {era: 1, version: 0}, 'taken');
    timer.advance(10_000);
    expect(value()).toEqual('taken');
  });

  test('is not overwritten after a second restore that lost the mark of the first', () => {
    const {store, writer, write, value} = createFixture();
    const copy = store.takeCopy();
    const first = writer('proxy-1');
    write(first, {era: 0, version: 0}, 'lost');
    store.restore(copy);
    const second = writer('proxy-2');
    write(second, {era: 1, version: 0}, 'lost again');
    store.restore(copy);
    write(second, {era: 2, version: 0}, 'taken');
    expect(write(first, {era: 0, version: 1}, 'overwritten')).toEqual(
      'conflict',
    );
    expect(value()).toEqual('taken');
  });

  test('counts as not written by a process that did not know of the restore', () => {
    const {store, writer, write} = createFixture();
    store.restore(store.takeCopy());
    expect(write(writer('proxy-1'), {era: 0, version: 0}, 'blind')).toEqual(
      'conflict',
    );
  });

  test('is written again in the new era, repeatedly', () => {
    const {store, writer, write, value} = createFixture();
    const rowWriter = writer('proxy-1');
    store.restore(store.takeCopy());
    const first = write(rowWriter, {era: 1, version: 0}, 'first');
    expect(first).toEqual({era: 1, version: 1});
    expect(write(rowWriter, {era: 1, version: 1}, 'second')).toEqual({
      era: 1,
      version: 2,
    });
    expect(value()).toEqual('second');
  });
});
