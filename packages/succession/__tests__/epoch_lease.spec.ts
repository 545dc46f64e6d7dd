import {
  createRandom,
  createRuntime,
  createVirtualTimer,
} from '@kelpstep/runtime';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {type EpochLease, createEpochLease} from '../src/epoch_lease';
import {EPOCHS_PER_WRITE, type Succession} from '../src/succession_row';
import {createReplicationHold} from '../src/replication_hold';
import type {SuccessionRowWriter} from '../src/succession_row_writer';
import type {TargetGroup} from '@kelpstep/targets';

const END = {term: 1, position: 7};

function setUp(initial: Partial<Succession>) {
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  let row: Succession = {
    epoch: EPOCHS_PER_WRITE,
    holder: 'p',
    phase: 'stopping',
    from: 'a',
    target: '',
    ...initial,
  };
  const rowWriter: SuccessionRowWriter = {
    *write(change) {
      row = {...row, ...change};
      return true;
    },
    succession: () => row,
  };
  const hold = createReplicationHold({
    runtime,
    group: {links: () => []} as unknown as TargetGroup,
    readStatus: () => undefined,
    primary: undefined,
    highestTerm: 1,
    newestTerm: 1,
  });
  const lease = createEpochLease(runtime, hold, rowWriter, timer.now());
  function begin(target: string): void {
    runtime.spawn('begin', lease.begin(target, END));
    timer.advance(100);
  }
  return {lease, begin};
}

function order(lease: EpochLease, target: string): void {
  expect(lease.takeEpoch(target) === undefined).toEqual(false);
}

describe('a change of primary', () => {
  test('is not contested while one target is ordered', () => {
    const {lease, begin} = setUp({});
    begin('b');
    begin('c');
    expect(lease.isContested()).toEqual(false);
    order(lease, 'c');
    begin('c');
    expect(lease.isContested()).toEqual(false);
  });

  // Guards against commits of a target that an earlier order replaces later.
  test('is contested from the order for another target on', () => {
    const {lease, begin} = setUp({});
    begin('b');
    order(lease, 'b');
    begin('c');
    expect(lease.isContested()).toEqual(true);
    order(lease, 'c');
    begin('b');
    expect(lease.isContested()).toEqual(true);
  });

  test('is contested if it replaces the target of an order that was taken over', () => {
    const {lease, begin} = setUp({phase: 'ordered', target: 'b'});
    begin('b');
    expect(lease.isContested()).toEqual(false);
    begin('c');
    expect(lease.isContested()).toEqual(true);
  });
});
