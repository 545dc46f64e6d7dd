import type {LogPosition} from '@kelpstep/protocol';
import {expect} from 'earl';
import fc from 'fast-check';
import {describe, test} from 'node:test';

import {
  ChangeStep,
  ChangingMember,
  createChangingGroup,
} from './abstract_membership';

const index = fc.nat(4);
const watcher = fc.nat(1);
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
    arbitrary: fc.record({kind: kind('see'), watcher, member: index}),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: kind('settle'),
      from: index,
      members: someMembers,
      watcher,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: kind('reconfigure'),
      watcher,
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
 * The naive definition: a record is confirmed if every later primary holds
 * it. Checked after the fact, for all that any watcher took to be confirmed.
 */
function checkHistory(steps: readonly ChangeStep[], size = 3): number {
  const group = createChangingGroup(size);
  const confirmed = new Map<string, Confirmed>();
  let changes = 0;
  for (const taken of steps) {
    group.take(taken);
    for (const snapshots of group.watchers) {
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
  // Two primaries, each with a change that the other doesn't know: majorities
  // of their configurations need not overlap, unless the later one has its
  // barrier confirmed by the configuration that both began with.
  test('survives changes by the primaries of two terms', () => {
    const steps: ChangeStep[] = [
      {kind: 'settle', from: 0, members: [1, 2, 3, 4], watcher: 0},
      {kind: 'settle', from: 0, members: [1, 2, 3], watcher: 1},
      {kind: 'reconfigure', watcher: 0, wanted: [0, 1, 2, 3, 4]},
      {kind: 'settle', from: 0, members: [4], watcher: 0},
      {kind: 'promote', reached: [1, 2, 3], avoided: 4},
      {kind: 'settle', from: 1, members: [2], watcher: 1},
      {kind: 'reconfigure', watcher: 1, wanted: [1, 2, 3]},
      {kind: 'settle', from: 1, members: [2], watcher: 1},
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
    // The property is about changes, so several must have come about.
    expect(most >= 3).toEqual(true);
  });
});
