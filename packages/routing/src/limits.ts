/** Limits of the request service. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Limits of the request service. All times are in milliseconds. */
export interface RequestLimits {
  /** Time for an answer if neither the request nor its kind sets a deadline. */
  readonly defaultDeadline: Milliseconds;
  /** Relative value of a request without a kind. */
  readonly defaultWorth: number;
  /** Upper bound for the time until a request's deadline. */
  readonly maximumDeadline: Milliseconds;
  /** How far the issue time of a key may be ahead of the proxy's clock. */
  readonly clockTolerance: Milliseconds;
  /** A key is rejected this long before the targets discard it. */
  readonly keyExpiryMargin: Milliseconds;
  /** A transaction without a statement for this long is rolled back. */
  readonly transactionIdleTime: Milliseconds;
  /** A transaction older than this is rolled back. */
  readonly transactionTotalTime: Milliseconds;
  /** Writes are sent to a leaving primary for at most this long. */
  readonly leavingGrace: Milliseconds;
  /** Maximum number of requests queued per target. */
  readonly queueCapacity: number;
}

/** Default limits. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = {
  defaultDeadline: 5_000,
  defaultWorth: 1,
  maximumDeadline: 60_000,
  clockTolerance: 60_000,
  keyExpiryMargin: 300_000,
  transactionIdleTime: 10_000,
  transactionTotalTime: 60_000,
  leavingGrace: 1_500,
  queueCapacity: 1_000,
};
