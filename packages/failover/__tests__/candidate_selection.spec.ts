import type {TargetStatus} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {chooseCandidate, nextTerm, promoterNumberOf} from '..';
import {statusAt} from './statuses';

function choose(
  fenced: readonly TargetStatus[],
  avoided: readonly string[] = [],
): string | undefined {
  return chooseCandidate(fenced, {
    groupSize: 3,
    isAvoided: memberId => avoided.includes(memberId),
    cost: memberId => (memberId === 'b' ? 0 : 1),
  })?.target;
}

describe('the selection of a primary', () => {
  test('takes the highest log by term, then by position', () => {
    const longButOld = statusAt('c', 90, {end: {term: 4, position: 90}});
    expect(choose([statusAt('b', 6), statusAt('c', 7)])).toEqual('c');
    expect(choose([statusAt('b', 6), longButOld])).toEqual('b');
  });

  test('breaks ties by cost', () => {
    expect(choose([statusAt('a', 7), statusAt('b', 7)])).toEqual('b');
  });

  test('takes no member without a majority', () => {
    expect(choose([statusAt('a', 7)])).toEqual(undefined);
  });

  test('counts neither empty members nor members that are catching up', () => {
    const catchingUp = statusAt('b', 3, {catchingUp: true});
    expect(choose([statusAt('a', 7), statusAt('b', 0)])).toEqual(undefined);
    expect(choose([statusAt('a', 7), catchingUp])).toEqual(undefined);
  });

  test('bootstraps when all members are fenced and empty', () => {
    const empty = [statusAt('a', 0), statusAt('b', 0), statusAt('c', 0)];
    expect(choose(empty)).toEqual('b');
    expect(choose(empty.slice(1))).toEqual(undefined);
  });

  test('completes an interrupted bootstrap with the only log', () => {
    const members = [statusAt('a', 1), statusAt('b', 0), statusAt('c', 0)];
    expect(choose(members)).toEqual('a');
  });

  test('skips avoided members only while a majority remains', () => {
    const members = [statusAt('a', 9), statusAt('b', 6), statusAt('c', 7)];
    expect(choose(members, ['a'])).toEqual('c');
    expect(choose(members.slice(0, 2), ['a'])).toEqual('a');
  });
});

describe('a new term', () => {
  test('is higher than the highest and contains the promoter number', () => {
    const term = nextTerm(3 * 65_536 + 65_535, 17);
    expect(term).toEqual(4 * 65_536 + 17);
    expect(nextTerm(0, 0)).toEqual(65_536);
  });

  test('differs between two processes with the same proxy id', () => {
    const first = promoterNumberOf({proxy: 'p1', incarnation: 'x'});
    const second = promoterNumberOf({proxy: 'p1', incarnation: 'y'});
    expect(first).not.toEqual(second);
    expect(first >= 0 && first < 65_536).toEqual(true);
  });
});
