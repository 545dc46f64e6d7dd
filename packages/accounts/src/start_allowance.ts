/** Allowance by which quotas may be exceeded while all proxies start. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {QuotaLimit} from './account_directory';

/** Tolerated excess over a quota in any time span of the window's length. */
export interface QuotaTolerance {
  readonly window: Milliseconds;
  /** Tolerated excess as a ratio of the limit. */
  readonly overage: number;
  /** Number of operations tolerated in addition. */
  readonly slack: number;
}

/**
 * Ratio of the tolerance used as allowance; requests in flight and a second
 * start use the rest.
 */
const START_ALLOWANCE_RATIO = 0.5;
const SECOND_MS: Milliseconds = 1000;

/**
 * Returns the number of operations allowed beyond a limit at the start, which
 * is within the tolerance; 0 without a tolerance.
 */
export function createStartAllowance(
  tolerance: QuotaTolerance | undefined,
): (limit: QuotaLimit) => number {
  if (tolerance === undefined) {
    return () => 0;
  }
  const {window, overage, slack} = tolerance;
  return ({rate, burst}) => {
    const limit = (rate * window) / SECOND_MS + burst;
    return START_ALLOWANCE_RATIO * (overage * limit + slack);
  };
}
