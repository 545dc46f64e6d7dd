/**
 * Estimates when a lost primary is back.
 *
 * This matters when a primary fails under load and every caller's statement
 * needs it.
 */
import {type OutageEstimator, createOutageEstimator} from './outage_estimator';

/** Whether a group has a usable primary, and if not, why. */
export type PrimaryState = 'present' | 'leaving' | 'lost';

/**
 * Estimates of an outage's duration before any outage has ended. A lost primary
 * must first be detected, while a planned change starts at once. Too long an
 * estimate refuses statements that could have waited.
 */
const INITIAL_ESTIMATES_MS = {lost: 1000, leaving: 300} as const;

/** Creates an estimator with no known primary and the initial estimates. */
export function createPrimaryOutageEstimator(): OutageEstimator<
  Exclude<PrimaryState, 'present'>
> {
  return createOutageEstimator({initialEstimates: INITIAL_ESTIMATES_MS});
}
