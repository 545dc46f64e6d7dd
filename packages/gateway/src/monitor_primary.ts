/** Starts what a proxy keeps running for the primary of each of its groups. */
import type {RowWriter} from '@kelpstep/platform';
import {
  type CopyRecords,
  type SuccessionMonitor,
  type SuccessionMonitorOptions,
  type SuccessionRecords,
  startCopyRecorder,
  startSuccessionMonitor,
} from '@kelpstep/succession';

/** What the monitors of all groups share, and the records of their rows. */
export interface MonitorPrimaryOptions extends Omit<
  SuccessionMonitorOptions,
  'copyRecord' | 'row' | 'rowSeenAt' | 'era'
> {
  readonly rowWriter: RowWriter;
  readonly successions: SuccessionRecords;
  readonly copyRecords: CopyRecords;
  /** True once the table of the records has been read. */
  hasReadTable(): boolean;
}

/** Monitors a group's primary and records the copies of its log. */
export function monitorPrimary(
  options: MonitorPrimaryOptions,
): SuccessionMonitor {
  const {group, successions, copyRecords} = options;
  const copyRecord = () => copyRecords.get(group.group);
  const row = () => successions.get(group.group);
  const recorder = startCopyRecorder({
    ...options,
    record: copyRecord,
    emptyPosition: () =>
      options.hasReadTable() ? {era: successions.era(), version: 0} : undefined,
  });
  const monitor = startSuccessionMonitor({
    ...options,
    copyRecord,
    row,
    rowSeenAt: () =>
      Math.max(row()?.observedAt ?? -Infinity, successions.eraSeenAt()),
    era: successions.era,
  });
  return {
    stop() {
      recorder.stop();
      monitor.stop();
    },
  };
}
