/**
 * Refuses statements whose primary or proof of freshness is expected only after
 * their latest start, by the durations of earlier outages.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';

import {MAXIMUM_FAILOVER_MS} from './outage_estimator';
import {
  type PrimaryState,
  createPrimaryOutageEstimator,
} from './primary_outage';
import {createProofOutageEstimator, proofState} from './proof_outage';

/** No target is expected in time; one is expected after `retryAfter`. */
export interface NoTarget {
  readonly retryAfter: Milliseconds;
  /** Why there is none; undefined if the primary is lost. */
  readonly reason?: string;
}

/** Reason of refusals because no proof of freshness is expected in time. */
export const NO_PROOF = 'no proof of freshness';

export interface LateRefusalsOptions {
  readonly timer: TimerService;
  primaryState(group: TargetGroup): PrimaryState;
}

/** Refusals by the observed states of groups. */
export interface LateRefusals {
  /**
   * Samples the states of the group's primary and of its proof of freshness; to
   * be called on every tick.
   */
  observe(group: TargetGroup): void;
  /**
   * Returns a refusal if a missing primary is expected back only after
   * `waitUntil`.
   */
  ifPrimaryIsLate(
    group: TargetGroup,
    waitUntil: Milliseconds,
  ): NoTarget | undefined;
  /**
   * Returns a refusal if a proof that can't be obtained here is expected only
   * after `waitUntil`.
   */
  ifProofIsLate(
    group: TargetGroup,
    waitUntil: Milliseconds,
  ): NoTarget | undefined;
}

/**
 * Longest retry time of refusals by an estimate that grows with the outage. A
 * peer may serve the statement as soon as the primary has been replaced.
 */
const MAXIMUM_PARTITION_RETRY_MS: Milliseconds = 1000;

/** Creates refusals without observed outages. */
export function createLateRefusals(options: LateRefusalsOptions): LateRefusals {
  const {timer} = options;
  const primaryOutages = createPrimaryOutageEstimator();
  const proofOutages = createProofOutageEstimator();

  function observe(group: TargetGroup): void {
    const now = timer.now();
    const name = group.group;
    primaryOutages.recordState(name, options.primaryState(group), now);
    proofOutages.recordState(name, proofState(group), now);
  }

  function isLate(expected: Milliseconds, waitUntil: Milliseconds): boolean {
    return expected > 0 && timer.now() + expected > waitUntil;
  }

  function refusal(
    expected: Milliseconds,
    waitUntil: Milliseconds,
    reason?: string,
  ): NoTarget | undefined {
    const retryAfter = Math.min(expected, MAXIMUM_PARTITION_RETRY_MS);
    return isLate(expected, waitUntil)
      ? {retryAfter, ...(reason === undefined ? {} : {reason})}
      : undefined;
  }

  return {
    observe,
    ifPrimaryIsLate(group, waitUntil) {
      observe(group);
      // With synchronous replicas, an outage that lasts longer than any change
      // of primary is a partition, and is expected to last as long again.
      const elapsed = primaryOutages.elapsed(group.group, timer.now());
      if (group.hasSynchronousReplicas() && elapsed > MAXIMUM_FAILOVER_MS) {
        return refusal(elapsed, waitUntil);
      }
      const retryAfter = primaryOutages.expected(group.group, timer.now());
      return isLate(retryAfter, waitUntil) ? {retryAfter} : undefined;
    },
    ifProofIsLate(group, waitUntil) {
      observe(group);
      const expected = proofOutages.expected(group.group, timer.now());
      return refusal(expected, waitUntil, NO_PROOF);
    },
  };
}
