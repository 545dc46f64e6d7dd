/** Backoff between the attempts of one statement. */
import type {Milliseconds} from '@kelpstep/runtime';
import type {StatementOutcome} from '@kelpstep/targets';

/**
 * Backoff after an attempt failed, unless the target lagged or no connection
 * could be opened; also the interval between look-ups of an unknown group.
 */
export const RETRY_BACKOFF_MS: Milliseconds = 15;
/** Backoff after no connection to a target could be opened. */
const RECONNECT_BACKOFF_MS: Milliseconds = 40;

/** Backoff after an attempt that failed for `reason`. */
export function backoffAfter(
  {kind}: StatementOutcome,
  reason: string,
): Milliseconds {
  if (kind === 'unreached') {
    return RECONNECT_BACKOFF_MS;
  }
  if (kind === 'withdrawn') {
    return 0;
  }
  return reason === 'lagging' ? 0 : RETRY_BACKOFF_MS;
}
