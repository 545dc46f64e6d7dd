import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {selectReadTarget} from '../src/select_read_target';

function createLink(target: string, time: number, setupTime: number) {
  const link: Partial<TargetLink> = {
    target,
    isReached: () => true,
    registration: () => ({isLeaving: false}) as never,
    expectedTime: () => time,
    setupTime: user => (user === undefined ? 0 : setupTime),
    roundTrip: () => 1,
    isStarved: () => false,
    connectionWait: () => ({untilRelease: 0, isPinned: false}),
  };
  return link as TargetLink;
}

describe('the target of a read', () => {
  // Guards against reads that open a connection although another target has one.
  test('is one with an idle connection, if opening takes longer', () => {
    const links = [createLink('new', 6, 14), createLink('idle', 12, 0)];
    const position = {term: 1, position: 1};
    const group = {
      links: () => links,
      leader: () => undefined,
      positions: {logOf: () => ({position, requestedAt: 0})},
    } as unknown as TargetGroup;
    const select = (user: string | undefined) =>
      selectReadTarget({
        group,
        kind: 'read',
        user,
        isBegin: false,
        position,
        triedAt: new Map(),
        now: 100,
      })?.target;
    expect([select('a1'), select(undefined)]).toEqual(['idle', 'new']);
  });
});
