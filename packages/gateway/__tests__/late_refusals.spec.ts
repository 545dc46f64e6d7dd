import {createVirtualTimer} from '@kelpstep/runtime';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createLateRefusals} from '../src/late_refusals';

const WAIT_MS = 680;
const REFUSAL = {retryAfter: 1000, reason: 'no proof of freshness'};

/** Refusals for a group of three targets that was served before. */
function createRefusals(hasSynchronousReplicas = true) {
  const timer = createVirtualTimer();
  let unresponsive = 0;
  let primary: 'present' | 'lost' = 'present';
  const links = [0, 1, 2].map(index => ({
    isReached: () => index >= unresponsive,
  }));
  const group = {
    group: 'g',
    links: () => links as unknown as TargetLink[],
    hasSynchronousReplicas: () => hasSynchronousReplicas,
  } as Partial<TargetGroup> as TargetGroup;
  const refusals = createLateRefusals({timer, primaryState: () => primary});
  refusals.observe(group);
  return {
    timer,
    refuseUnproved(count: number) {
      unresponsive = count;
      return refusals.ifProofIsLate(group, timer.now() + WAIT_MS);
    },
    refuseWithoutPrimary() {
      primary = 'lost';
      return refusals.ifPrimaryIsLate(group, timer.now() + WAIT_MS);
    },
  };
}

describe('a statement without a proof of freshness', () => {
  test('is refused if the proof is expected after its latest start', () => {
    const {timer, refuseUnproved} = createRefusals();
    expect(refuseUnproved(1)).toEqual(undefined);
    expect(refuseUnproved(2)).toEqual(REFUSAL);
    timer.advance(8000);
    expect(refuseUnproved(2)).toEqual(REFUSAL);
    expect(createRefusals(false).refuseUnproved(2)).toEqual(undefined);
  });

  // Guards against refusals of statements that a short outage only delays.
  test('waits if the proof is expected in time', () => {
    const {timer, refuseUnproved} = createRefusals();
    refuseUnproved(2);
    timer.advance(200);
    refuseUnproved(0);
    expect(refuseUnproved(2)).toEqual(undefined);
  });
});

// Guards against holding statements while no succession is possible.
test('a statement is refused if the primary is lost for longer than a change takes', () => {
  for (const hasReplicas of [true, false]) {
    const {timer, refuseWithoutPrimary} = createRefusals(hasReplicas);
    refuseWithoutPrimary();
    timer.advance(2900);
    expect(refuseWithoutPrimary()).toEqual(undefined);
    timer.advance(200);
    const refusal = hasReplicas ? {retryAfter: 1000} : undefined;
    expect(refuseWithoutPrimary()).toEqual(refusal);
  }
});
