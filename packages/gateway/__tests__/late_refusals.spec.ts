import {createVirtualTimer} from '@kelpstep/runtime';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createLateRefusals} from '../src/late_refusals';
import type {PrimaryState} from '../src/primary_outage';

const WAIT_MS = 680;
const REASON = 'no proof of freshness';

/** Refusals for a group of three targets that was served before. */
function createRefusals(hasSynchronousReplicas: boolean) {
  const timer = createVirtualTimer();
  const state = {unresponsive: 0, primary: 'present' as PrimaryState};
  const links = [0, 1, 2].map(index => ({
    isReached: () => index >= state.unresponsive,
  }));
  const group = {
    group: 'g',
    links: () => links as unknown as TargetLink[],
    hasSynchronousReplicas: () => hasSynchronousReplicas,
  } as Partial<TargetGroup> as TargetGroup;
  const refusals = createLateRefusals({
    timer,
    primaryState: () => state.primary,
  });
  refusals.observe(group);
  const waitUntil = () => timer.now() + WAIT_MS;
  return {
    timer,
    refuseUnproved(unresponsive: number) {
      state.unresponsive = unresponsive;
      return refusals.ifProofIsLate(group, waitUntil());
    },
    refuseWithoutPrimary() {
      state.primary = 'lost';
      return refusals.ifPrimaryIsLate(group, waitUntil());
    },
  };
}

describe('a statement without a proof of freshness', () => {
  test('is refused if the proof is expected after its latest start', () => {
    const {timer, refuseUnproved} = createRefusals(true);
    expect(refuseUnproved(2)).toEqual({retryAfter: 1000, reason: REASON});
    timer.advance(8000);
    expect(refuseUnproved(2)).toEqual({retryAfter: 1000, reason: REASON});
  });

  // Guards against refusals of statements that a short outage only delays.
  test('waits if the proof is expected in time', () => {
    const {timer, refuseUnproved} = createRefusals(true);
    refuseUnproved(2);
    timer.advance(200);
    refuseUnproved(0);
    expect(refuseUnproved(2)).toEqual(undefined);
    expect(refuseUnproved(1)).toEqual(undefined);
  });
});

describe('a statement without a primary', () => {
  // Guards against holding statements while no succession is possible.
  test('is refused if the outage is longer than a change of primary', () => {
    const {timer, refuseWithoutPrimary} = createRefusals(true);
    refuseWithoutPrimary();
    timer.advance(2900);
    expect(refuseWithoutPrimary()).toEqual(undefined);
    timer.advance(200);
    expect(refuseWithoutPrimary()).toEqual({retryAfter: 1000});
  });

  test('waits in such an outage if there are no synchronous replicas', () => {
    const {timer, refuseWithoutPrimary} = createRefusals(false);
    refuseWithoutPrimary();
    timer.advance(3100);
    expect(refuseWithoutPrimary()).toEqual(undefined);
  });
});
