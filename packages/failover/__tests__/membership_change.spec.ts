import type {TargetStatus} from '@kelpstep/protocol';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {ConfiguredMember, MembershipChangeInput, nextConfiguration} from '..';
import {statusAt} from './statuses';

function membersOf(ids: string): ConfiguredMember[] {
  return [...ids].map(id => ({id, address: `${id}:1`}));
}

function statusesOf(ids: string): TargetStatus[] {
  return [...ids].map(id => statusAt(id, 200));
}

/** Next member ids of a group of a, b and c with primary a, if any change. */
function change(
  wanted: string | ConfiguredMember[],
  statuses: readonly TargetStatus[] = statusesOf('abcd'),
  extra: Partial<MembershipChangeInput> = {},
): string | undefined {
  const next = nextConfiguration({
    configuration: {
      version: 1,
      members: membersOf('abc'),
      at: {term: 5, position: 100},
    },
    wanted: typeof wanted === 'string' ? membersOf(wanted) : wanted,
    manifestVersion: 2,
    leadership: {term: 5, primary: 'a'},
    confirmed: {term: 5, position: 100},
    statuses,
    catchUpRecords: 10,
    ...extra,
  });
  return next?.members.map(({id}) => id).join('');
}

describe('the next configuration', () => {
  test('adds before it removes, one member at a time', () => {
    expect(change('abcd')).toEqual('abcd');
    expect(change('bcd')).toEqual('abcd');
    expect(change('ab')).toEqual('ab');
    expect(change('abc')).toEqual(undefined);
  });

  test('requires that the present one and the barrier are confirmed', () => {
    const written = {confirmed: {term: 5, position: 99}};
    expect(change('abcd', undefined, written)).toEqual(undefined);
    const earlier = {confirmed: {term: 4, position: 150}};
    expect(change('abcd', undefined, earlier)).toEqual(undefined);
  });

  test('does not follow an earlier manifest', () => {
    const old = {manifestVersion: 0};
    expect(change('abcd', undefined, old)).toEqual(undefined);
  });

  test('adds no member that has not caught up', () => {
    const behind = [
      statusAt('d', 0),
      statusAt('d', 189),
      statusAt('d', 200, {catchingUp: true}),
      statusAt('d', 200, {term: 4}),
      statusAt('d', 200, {end: {term: 4, position: 200}}),
    ];
    for (const status of behind) {
      expect(change('abcd', [...statusesOf('abc'), status])).toEqual(undefined);
    }
  });

  test('neither has fewer members than wanted nor lacks the primary', () => {
    expect(change('bcd', statusesOf('abc'))).toEqual(undefined);
    expect(change('bc')).toEqual(undefined);
  });

  test('has a majority of caught-up members', () => {
    expect(change('abcd', statusesOf('ad'))).toEqual(undefined);
    expect(change('ab', statusesOf('ac'))).toEqual(undefined);
    expect(change('a', statusesOf('ac'))).toEqual('ac');
  });

  test('removes a member whose id is wanted at another address', () => {
    const moved = [...membersOf('ab'), {id: 'c', address: 'c:2'}];
    expect(change(moved)).toEqual('ab');
  });
});
