import type {LogPosition} from '@kelpstep/protocol';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';

import {
  ChangeStep,
  ChangingMember,
  createChangingGroup,
} from './model_membership';

const index = fc.nat(4);
const observer = fc.nat(1);
const someMembers = fc.uniqueArray(index, {minLength: 1});

function kind<K extends ChangeStep['kind']>(name: K) {
  return fc.constant(name);
}

const step = fc.oneof(
  {
    weight: 1,
    arbitrary: fc.record({kind: kind('write'), member: index}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind('replicate'),
      from: index,
      to: index,
      count: fc.nat(5),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind('promote'),
      reached: fc.uniqueArray(index, {minLength: 2, maxLength: 3}),
      avoided: index,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: kind('see'), observer, member: index}),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: kind('settle'),
      from: index,
      members: someMembers,
      observer,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: kind('reconfigure'),
      observer,
      wanted: fc.oneof(fc.constant([0, 1, 2, 3, 4]), someMembers),
    }),
  },
) as fc.Arbitrary<ChangeStep>;

interface Confirmed {
  readonly at: LogPosition;
  readonly terms: string;
}

/** The terms of a log's records up to a position. */
function termsUpTo({records}: ChangingMember, position: number): string {
  return records
    .slice(0, position)
    .map(({term}) => term)
    .join();
}

/**
 * Checks that every primary holds each record that an observer considered
 * confirmed at the same or a lower term. Returns the largest number of
 * configuration changes in any log.
 */
function checkHistory(steps: readonly ChangeStep[], size = 3): number {
  const group = createChangingGroup(size);
  const confirmed = new Map<string, Confirmed>();
  let changes = 0;
  for (const taken of steps) {
    group.take(taken);
    for (const snapshots of group.observers) {
      const at = group.confirmedBy(snapshots);
      const holder = group.members.find(
        ({records}) => records[(at?.position ?? 0) - 1]?.term === at?.term,
      );
      if (at !== undefined) {
        const terms = holder ? termsUpTo(holder, at.position) : 'lost';
        confirmed.set(`${terms}/${at.position}/${at.term}`, {at, terms});
      }
    }
    for (const member of group.members) {
      checkPrimary(member, [...confirmed.values()]);
      changes = Math.max(changes, countChanges(member));
    }
  }
  return changes;
}

function checkPrimary(
  member: ChangingMember,
  confirmed: readonly Confirmed[],
): void {
  for (const {at, terms} of confirmed) {
    if (member.role === 'primary' && member.term >= at.term) {
      expect(termsUpTo(member, at.position)).toEqual(terms);
    }
  }
}

function countChanges({records}: ChangingMember): number {
  return records.filter(({configuration}) => configuration).length - 1;
}

describe('a record confirmed while members change', () => {
  // Two primaries may each write a change unknown to the other. Majorities of
  // these two configurations need not overlap, so the later primary must first
  // confirm its barrier in the configuration that both started with.
  test('survives changes by the primaries of two terms', () => {
    const steps: ChangeStep[] = [
      {kind: 'settle', from: 0, members: [1, 2, 3, 4], observer: 0},
      {kind: 'settle', from: 0, members: [1, 2, 3], observer: 1},
      {kind: 'reconfigure', observer: 0, wanted: [0, 1, 2, 3, 4]},
      {kind: 'settle', from: 0, members: [4], observer: 0},
      {kind: 'promote', reached: [1, 2, 3], avoided: 4},
      {kind: 'settle', from: 1, members: [2], observer: 1},
      {kind: 'reconfigure', observer: 1, wanted: [1, 2, 3]},
      {kind: 'settle', from: 1, members: [2], observer: 1},
      {kind: 'promote', reached: [0, 3, 4], avoided: 3},
    ];
    expect(checkHistory(steps, 4)).toEqual(1);
  });

  test('is in the log of every later primary', () => {
    let most = 0;
    fc.assert(
      fc.property(fc.array(step, {minLength: 20, maxLength: 80}), steps => {
        most = Math.max(most, checkHistory(steps));
      }),
      {numRuns: 2500, seed: 20260102},
    );
    // The property is vacuous unless the runs contain several changes.
    expect(most >= 3).toEqual(true);
  });
});
