import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {viewOfGroup} from '../src/relay/group_view';

const NOW = 10_000;

/** View of a group with one replica, by the times of the last contacts. */
function viewOf(
  primaryAt: number,
  replicaAt: number,
  isReplicaReached = true,
  hasSynchronousReplicas = true,
) {
  const primary = {isReached: () => true, lastContactAt: () => primaryAt};
  const replica = {
    isReached: () => isReplicaReached,
    lastContactAt: () => replicaAt,
  };
  const group = {
    leader: () => primary as unknown as TargetLink,
    links: () => [primary, replica] as unknown as TargetLink[],
    hasSynchronousReplicas: () => hasSynchronousReplicas,
  };
  return viewOfGroup(group as Partial<TargetGroup> as TargetGroup, NOW);
}

describe('the view of a group that peers are told', () => {
  test('counts a primary only if it has answered recently', () => {
    expect(viewOf(NOW - 400, NOW).reachesPrimary).toEqual(true);
    expect(viewOf(NOW - 500, NOW).reachesPrimary).toEqual(false);
    expect(viewOfGroup(undefined, NOW).reachesPrimary).toEqual(false);
  });

  // Guards against successions because an idle replica was not probed lately.
  test('counts a replica from its first answer until its probes fail', () => {
    expect(viewOf(NOW, NOW - 900).reachesReplica).toEqual(true);
    expect(viewOf(NOW, NOW, false).reachesReplica).toEqual(false);
    expect(viewOf(NOW, -Infinity).reachesReplica).toEqual(false);
    expect(viewOf(NOW, NOW, false, false).reachesReplica).toEqual(true);
  });
});
