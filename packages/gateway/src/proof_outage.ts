/**
 * Recognizes that this proxy can't prove freshness, and estimates when it can
 * again.
 *
 * This matters when a partition separates this proxy from most targets of a
 * group: the primary may be reached, but no round of probes gives a proof.
 */
import type {Milliseconds} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';

import {type OutageEstimator, createOutageEstimator} from './outage_estimator';

/** Whether a proof of freshness may be obtained here. */
export type ProofState = 'present' | 'unproved';

/**
 * Number of unresponsive targets with which there is no proof, see
 * `group_positions.ts`.
 */
const UNRESPONSIVE_WITHOUT_PROOF = 2;
/**
 * Estimate before any outage has ended: the time in which a split group gets a
 * new primary.
 */
const INITIAL_ESTIMATE_MS: Milliseconds = 1000;

/** State of the group as seen by this proxy. */
export function proofState(
  group: Pick<TargetGroup, 'links' | 'hasSynchronousReplicas'>,
): ProofState {
  if (!group.hasSynchronousReplicas()) {
    return 'present';
  }
  const unresponsive = group.links().filter(link => !link.isReached());
  return unresponsive.length >= UNRESPONSIVE_WITHOUT_PROOF
    ? 'unproved'
    : 'present';
}

/**
 * Creates an estimator without outages. One that lasts longer than estimated is
 * a partition, and is expected to last as long again.
 */
export function createProofOutageEstimator(): OutageEstimator<'unproved'> {
  return createOutageEstimator({
    initialEstimates: {unproved: INITIAL_ESTIMATE_MS},
    remainingBeyondEstimate: elapsed => elapsed,
  });
}
