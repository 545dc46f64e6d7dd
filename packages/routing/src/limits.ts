/** Contains the limits of the request service and their defaults. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Limits of the request service. All times are in milliseconds. */
export interface RequestLimits {
  /**
   * Time until a request's deadline if neither the request nor its kind sets
   * one.
   */
  readonly defaultDeadline: Milliseconds;
  /** Value of a request without a kind, relative to other requests. */
  readonly defaultWorth: number;
  /** Upper bound for the time until a request's deadline. */
  readonly maximumDeadline: Milliseconds;
  /** Time by which a key's issue time may be ahead of the proxy's clock. */
  readonly clockTolerance: Milliseconds;
  /** A key is rejected this long before the targets discard it. */
  readonly keyExpiryMargin: Milliseconds;
  /** Time without a statement after which a transaction is rolled back. */
  readonly transactionIdleTime: Milliseconds;
  /** Age at which a transaction is rolled back. */
  readonly transactionTotalTime: Milliseconds;
  /** Time for which writes are still sent to a leaving primary. */
  readonly leavingGrace: Milliseconds;
  /** Maximum number of requests queued per target. */
  readonly queueCapacity: number;
}

/** Limits that apply unless they are overridden. */
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
