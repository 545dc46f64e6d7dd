/** Records changes of primary in logs, metrics and the audit trail. */
import type {LeadershipChange} from '@kelpstep/failover';
import type {AuditTrail, Logger, ProxyMetrics} from '@kelpstep/observability';

/** Where changes are recorded, and the proxy that they are attributed to. */
export interface LeadershipRecorderOptions {
  readonly proxy: string;
  readonly logger: Logger;
  readonly metrics: ProxyMetrics;
  readonly audit: AuditTrail;
}

const NO_PRIMARY = 'none';

/** Creates the listener for changes of primary that this proxy performed. */
export function createLeadershipRecorder(
  options: LeadershipRecorderOptions,
): (change: LeadershipChange) => void {
  const {proxy, logger, metrics, audit} = options;
  return change => {
    const {group, term, primary, previous, cause, durations} = change;
    const gap = durations.sinceHeard;
    logger.info('primary_changed', {
      group,
      term,
      target: primary,
      message: cause,
      ...(gap === undefined ? {} : {milliseconds: Math.round(gap)}),
    });
    if (gap !== undefined) {
      metrics.failoverEnded(group, gap);
    }
    audit.record({
      who: `proxy ${proxy}`,
      what: `primary of ${group}`,
      from: previous ?? NO_PRIMARY,
      to: `${primary}, term ${term}`,
      outcome: `confirmed, cause: ${cause}`,
    });
  };
}
