/** How far quotas may be exceeded while all proxies start. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {QuotaLimit} from './account_directory';

/** How quotas are judged: over any span of a window's length. */
export interface QuotaTolerance {
  readonly window: Milliseconds;
  /** Share of the limit that may be exceeded. */
  readonly overage: number;
  /** Operations that may be exceeded beside it. */
  readonly slack: number;
}

/** Of the tolerance; what is on its way and a second start need the rest. */
const START_SHARE = 0.5;
const SECOND: Milliseconds = 1000;

/** Creates the allowance within a tolerance; none without any. */
export function createStartAllowance(
  tolerance: QuotaTolerance | undefined,
): (limit: QuotaLimit) => number {
  if (tolerance === undefined) {
    return () => 0;
  }
  const {window, overage, slack} = tolerance;
  return ({rate, burst}) => {
    const limit = (rate * window) / SECOND + burst;
    return START_SHARE * (overage * limit + slack);
  };
}
