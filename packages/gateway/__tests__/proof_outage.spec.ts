import {createVirtualTimer} from '@kelpstep/runtime';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import {createLateRefusals} from '../src/late_refusals';
import {createProofOutageEstimator, proofState} from '../src/proof_outage';

/** A group of three targets, of which some are unresponsive. */
function createGroup(unresponsive: number, hasSynchronousReplicas = true) {
  const links = [0, 1, 2].map(index => ({
    isReached: () => index >= unresponsive,
  }));
  const group: Partial<TargetGroup> = {
    group: 'g',
    links: () => links as unknown as TargetLink[],
    hasSynchronousReplicas: () => hasSynchronousReplicas,
  };
  return group as TargetGroup;
}

describe('a proof of freshness', () => {
  test('is impossible with two unresponsive targets', () => {
    expect(proofState(createGroup(1))).toEqual('present');
    expect(proofState(createGroup(2))).toEqual('unproved');
  });

  test('is not ruled out without synchronous replicas', () => {
    expect(proofState(createGroup(2, false))).toEqual('present');
  });
});

describe('the proof outage estimator', () => {
  test('learns from earlier outages', () => {
    const estimator = createProofOutageEstimator();
    estimator.recordState('g', 'present', 0);
    estimator.recordState('g', 'unproved', 1000);
    expect(estimator.expected('g', 1200)).toEqual(800);
    estimator.recordState('g', 'present', 1400);
    estimator.recordState('g', 'unproved', 5000);
    expect(estimator.expected('g', 5000)).toEqual(700);
  });

  // Guards against holding statements for as long as a partition lasts.
  test('expects an outage beyond the estimate to last as long again', () => {
    const estimator = createProofOutageEstimator();
    estimator.recordState('g', 'present', 0);
    estimator.recordState('g', 'unproved', 100);
    expect(estimator.expected('g', 5100)).toEqual(5000);
  });
});

describe('a statement without a proof of freshness', () => {
  const WAIT_MS = 680;

  function createRefusals() {
    const timer = createVirtualTimer();
    const primaryState = () => 'present' as const;
    const refusals = createLateRefusals({timer, primaryState});
    const refuse = (unresponsive: number) =>
      refusals.ifProofIsLate(createGroup(unresponsive), timer.now() + WAIT_MS);
    refusals.observe(createGroup(0));
    return {timer, refuse};
  }

  test('is refused if the proof is expected after its latest start', () => {
    const {timer, refuse} = createRefusals();
    const reason = 'no proof of freshness';
    expect(refuse(2)).toEqual({retryAfter: 1000, reason});
    timer.advance(8000);
    expect(refuse(2)).toEqual({retryAfter: 1000, reason});
  });

  // Guards against refusals of statements that a short outage only delays.
  test('waits if the proof is expected in time', () => {
    const {timer, refuse} = createRefusals();
    refuse(2);
    timer.advance(200);
    refuse(0);
    expect(refuse(2)).toEqual(undefined);
    expect(refuse(1)).toEqual(undefined);
  });
});
