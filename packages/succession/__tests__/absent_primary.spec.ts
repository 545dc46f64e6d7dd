import {createVirtualTimer} from '@kelpstep/runtime';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createAbsentPrimary} from '../src/absent_primary';
import type {KnownCopyRecord} from '../src/copy_record';
import type {Succession} from '../src/succession_row';

const POSITION = {era: 0, version: 1};
const ROW: Succession = {
  epoch: 1,
  holder: 'p',
  phase: 'done',
  from: 'a',
  target: 'b',
  term: 2,
};

function recordOf(primary: string, term: number): KnownCopyRecord {
  const record = {primary, term, replicas: []};
  return {record, position: POSITION, observedAt: 0};
}

function setUp(row?: Succession, record?: KnownCopyRecord) {
  const timer = createVirtualTimer();
  const listed = new Set<string>();
  const silent = new Set<string>();
  const leading = new Set<string>();
  const absentPrimary = createAbsentPrimary({
    timer,
    group: {
      positions: {
        leader: () => [...leading].map(target => ({target, term: 1})).pop(),
      },
      link: (name: string) =>
        listed.has(name)
          ? ({isReached: () => !silent.has(name)} as TargetLink)
          : undefined,
    } as unknown as TargetGroup,
    row: () => row && {succession: row, position: POSITION},
    copyRecord: () => record,
  });
  return {timer, listed, silent, leading, absentPrimary};
}

describe('the last primary of a group', () => {
  test('is the one of the newest term', () => {
    const {absentPrimary: byRow} = setUp(ROW, recordOf('a', 1));
    expect(byRow.last()).toEqual({target: 'b', term: 2});
    const {absentPrimary: byRecord} = setUp(ROW, recordOf('c', 3));
    expect(byRecord.last()).toEqual({target: 'c', term: 3});
    const ordered: Succession = {...ROW, phase: 'ordered'};
    expect(setUp(ordered).absentPrimary.last()?.target).toEqual('a');
    expect(setUp().absentPrimary.last()).toEqual(undefined);
  });

  test('is waited for while it is not listed or silent, for 10 s', () => {
    const {timer, listed, silent, absentPrimary} = setUp(
      undefined,
      recordOf('a', 1),
    );
    listed.add('a');
    timer.advance(60_000);
    expect(absentPrimary.isAwaited()).toEqual(true);
    silent.add('a');
    expect(absentPrimary.isAwaited()).toEqual(true);
    timer.advance(6000);
    listed.delete('a');
    timer.advance(3900);
    expect(absentPrimary.isAwaited()).toEqual(true);
    timer.advance(200);
    expect(absentPrimary.isAwaited()).toEqual(false);
  });

  // Guards against a group that waits without end for a primary that answers, and
  // never leads again.
  test('is waited for while it leads, and for 10 s if it answers as a replica', () => {
    const {timer, listed, leading, absentPrimary} = setUp(
      undefined,
      recordOf('a', 1),
    );
    listed.add('a');
    leading.add('a');
    absentPrimary.observe();
    timer.advance(60_000);
    expect(absentPrimary.remainingWait()).toEqual(Infinity);
    leading.delete('a');
    expect(absentPrimary.remainingWait()).toEqual(10_000);
    timer.advance(9900);
    expect(absentPrimary.isAwaited()).toEqual(true);
    timer.advance(200);
    expect(absentPrimary.isAwaited()).toEqual(false);
    leading.add('a');
    expect(absentPrimary.remainingWait()).toEqual(Infinity);
  });

  test('is not waited for if none is known', () => {
    expect(setUp().absentPrimary.remainingWait()).toEqual(0);
  });
});
