/** Limits of the request service. All times in milliseconds. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Limits of the request service. */
export interface RequestLimits {
  /** Time for an answer if neither request nor kind states one. */
  readonly defaultDeadline: Milliseconds;
  /** Worth of a request that names no kind. */
  readonly defaultWorth: number;
  /** Longest time that a request may ask for. */
  readonly maximumDeadline: Milliseconds;
  /** A key may lie this far ahead of the proxy's clock. */
  readonly clockTolerance: Milliseconds;
  /** A key is refused this long before its targets forget it. */
  readonly keyExpiryMargin: Milliseconds;
  /** A transaction without a statement for this long is rolled back. */
  readonly transactionIdleTime: Milliseconds;
  /** A transaction older than this is rolled back. */
  readonly transactionTotalTime: Milliseconds;
  /** Writes still go to a leaving primary for this long. */
  readonly leavingGrace: Milliseconds;
  /** Requests that wait for one target at most. */
  readonly queueCapacity: number;
}

/** Limits that hold unless settings say otherwise. */
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
