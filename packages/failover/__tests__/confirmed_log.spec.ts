import {LogPosition} from '@kelpstep/protocol';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';

import {MemberLog, computeConfirmed, confirmationOf, majorityOf} from '..';
import {Step, createModelGroup, statusOf} from './model_group';

function log(
  target: string,
  term: number,
  position: number,
  extra: Partial<MemberLog> = {},
): MemberLog {
  return {
    target,
    role: target === 'a' ? 'primary' : 'replica',
    term,
    end: {term, position},
    history: [
      {term: 1, firstPosition: 1},
      {term: 5, firstPosition: 4},
    ],
    ...extra,
  };
}

function confirmedOf(
  logs: readonly MemberLog[],
  primary: string | undefined = 'a',
): LogPosition | undefined {
  const input = {logs, groupSize: 3, primaryOf: () => primary};
  return computeConfirmed(input)?.at;
}

describe('the confirmed position', () => {
  test('requires a majority of all members, known or not', () => {
    expect(confirmedOf([log('a', 5, 9), log('b', 5, 7)])).toEqual({
      term: 5,
      position: 7,
    });
    expect(confirmedOf([log('a', 5, 9)])).toEqual(undefined);
  });

  test('assumes that the primary holds all records of its term', () => {
    expect(confirmedOf([log('b', 5, 7)])).toEqual({term: 5, position: 7});
    expect(confirmedOf([log('b', 5, 7)], 'b')).toEqual(undefined);
  });

  test('is unknown until a majority holds the barrier of the term', () => {
    const behind = log('b', 5, 3, {end: {term: 1, position: 3}});
    expect(confirmedOf([log('a', 5, 9), behind])).toEqual(undefined);
  });

  test('ignores members that have seen a higher term', () => {
    const fenced = log('b', 6, 9, {end: {term: 5, position: 9}});
    expect(confirmedOf([log('a', 5, 9), fenced])).toEqual(undefined);
    const deposed = log('a', 6, 9, {end: {term: 5, position: 9}});
    expect(confirmedOf([deposed, log('b', 5, 9)])).toEqual(undefined);
  });

  test('ignores members that are catching up', () => {
    const returned = log('b', 5, 9, {catchingUp: true});
    expect(confirmedOf([log('a', 5, 9), returned])).toEqual(undefined);
  });

  test('decides records of earlier terms by the history of the log', () => {
    const history = log('a', 5, 9).history;
    const confirmed = {at: {term: 5, position: 8}, history};
    expect(confirmationOf({term: 1, position: 3}, confirmed)).toEqual(
      'confirmed',
    );
    expect(confirmationOf({term: 1, position: 4}, confirmed)).toEqual(
      'superseded',
    );
    expect(confirmationOf({term: 5, position: 9}, confirmed)).toEqual(
      undefined,
    );
    expect(confirmationOf({term: 6, position: 1}, confirmed)).toEqual(
      undefined,
    );
  });
});

const index = fc.nat(4);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('write'), member: index}),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('replicate'),
      from: index,
      to: index,
      count: fc.nat(3),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('promote'),
      reached: fc.uniqueArray(index, {minLength: 1}),
      avoided: index,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('restart_empty'),
      member: index,
    }),
  },
  {weight: 8, arbitrary: fc.record({kind: fc.constant('see'), member: index})},
) as fc.Arbitrary<Step>;

/**
 * Checks confirmation by its consequence: every primary of the same or a later
 * term must hold all records that were reported as confirmed.
 */
describe('a record reported as confirmed', () => {
  test('is in the log of every later primary', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(3, 3, 3, 3, 1, 2, 4, 5),
        fc.array(step, {maxLength: 120}),
        checkHistory,
      ),
      {numRuns: 3000, seed: 20260101},
    );
  });
});

function checkHistory(size: number, steps: readonly Step[]): void {
  const group = createModelGroup(size);
  const seen = new Map<string, MemberLog>();
  const confirmed: Array<{at: LogPosition; prefix: string}> = [];
  for (const taken of steps) {
    group.take(taken);
    if (taken.kind === 'see') {
      const member = group.members[taken.member % size];
      if (member !== undefined) {
        seen.set(member.id, statusOf(member));
      }
    }
    for (const logs of [[...seen.values()], group.members.map(statusOf)]) {
      const found = computeConfirmed({
        logs,
        groupSize: size,
        primaryOf: term => group.primaries.get(term),
      });
      if (found !== undefined) {
        confirmed.push({at: found.at, prefix: prefixOf(group, found.at)});
      }
    }
    checkPrimaries(group.members, confirmed);
  }
}

type ModelGroup = ReturnType<typeof createModelGroup>;

/** The terms of all records up to and including a confirmed one. */
function prefixOf({members}: ModelGroup, at: LogPosition): string {
  const holder = members.find(
    ({records}) => records[at.position - 1] === at.term,
  );
  return holder?.records.slice(0, at.position).join() ?? 'lost';
}

function checkPrimaries(
  members: ModelGroup['members'],
  confirmed: ReadonlyArray<{at: LogPosition; prefix: string}>,
): void {
  for (const {role, term, records} of members) {
    for (const {at, prefix} of confirmed) {
      if (role === 'primary' && term >= at.term) {
        expect(records.slice(0, at.position).join()).toEqual(prefix);
      }
    }
  }
}

describe('a majority', () => {
  test('shares a member with every other majority', () => {
    fc.assert(
      fc.property(fc.integer({min: 1, max: 9}), size => {
        const majority = majorityOf(size);
        expect(2 * majority > size && majority <= size).toEqual(true);
      }),
      {seed: 1},
    );
  });
});
