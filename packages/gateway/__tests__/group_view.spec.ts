import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {viewOfGroup} from '../src/relay/group_view';

const NOW = 10_000;

function createLink(lastContactAt: number, isReached = true): TargetLink {
  return {
    isReached: () => isReached,
    lastContactAt: () => lastContactAt,
  } as Partial<TargetLink> as TargetLink;
}

function viewOf(
  [primary, ...replicas]: TargetLink[],
  hasSynchronousReplicas = true,
) {
  const group: Partial<TargetGroup> = {
    leader: () => primary,
    links: () => [...(primary === undefined ? [] : [primary]), ...replicas],
    hasSynchronousReplicas: () => hasSynchronousReplicas,
  };
  return viewOfGroup(group as TargetGroup, NOW);
}

describe('the view of a group that peers are told', () => {
  test('counts a primary only if it has answered recently', () => {
    const replica = createLink(NOW);
    expect(viewOf([createLink(NOW - 400), replica]).reachesPrimary).toEqual(
      true,
    );
    expect(viewOf([createLink(NOW - 500), replica]).reachesPrimary).toEqual(
      false,
    );
  });

  // Guards against successions because an idle replica was not probed lately.
  test('counts a replica until its probes fail', () => {
    const primary = createLink(NOW);
    const reaches = (...replicas: TargetLink[]) =>
      viewOf([primary, ...replicas]).reachesReplica;
    expect(reaches(createLink(NOW - 900), createLink(NOW, false))).toEqual(
      true,
    );
    expect(reaches(createLink(NOW, false))).toEqual(false);
    expect(reaches(createLink(-Infinity))).toEqual(false);
  });

  test('claims a replica in a group without synchronous replicas', () => {
    expect(viewOf([createLink(NOW)], false).reachesReplica).toEqual(true);
  });

  test('of an unknown group includes no primary', () => {
    expect(viewOfGroup(undefined, NOW).reachesPrimary).toEqual(false);
  });
});
