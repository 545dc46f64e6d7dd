/** Keeps a record for each group that this proxy uses. */
import type {Group} from '@kelpstep/manifest';
import {DEFAULT_CONNECTION_TIMES} from '@kelpstep/pool';

import {GroupRecord, TICK_INTERVAL_MS, createGroupRecord} from './group_record';
import type {RequestLimits} from './limits';
import type {RequestPolicies} from './policies';
import type {RequestServiceOptions, TargetLoad} from './service_types';

/** Records of the groups that this proxy uses, by group name. */
export interface GroupTable {
  /**
   * Returns the record of a group, which is created at its first use; undefined
   * while the group has no view.
   */
  get(group: Group): GroupRecord | undefined;
  /** Applies the manifest in force and the number of live proxies. */
  reconfigure(): void;
  loads(): TargetLoad[];
  close(): void;
}

export function createGroupTable(
  options: RequestServiceOptions,
  policies: RequestPolicies,
  limits: RequestLimits,
): GroupTable {
  const {runtime, transport} = options;
  const records = new Map<string, GroupRecord>();

  function get(group: Group): GroupRecord | undefined {
    const view = options.groupView(group.name);
    const existing = records.get(group.name);
    if (existing !== undefined && existing.view === view) {
      return existing;
    }
    existing?.close();
    records.delete(group.name);
    if (view === undefined) {
      return undefined;
    }
    const record = createGroupRecord({
      runtime,
      transport,
      view,
      group,
      liveProxies: options.liveProxyCount(),
      policies,
      connectionTimes: DEFAULT_CONNECTION_TIMES,
      queueCapacity: limits.queueCapacity,
      leavingGrace: limits.leavingGrace,
      onPrimaryUnavailable: outage => options.onPrimaryUnavailable?.(outage),
    });
    records.set(group.name, record);
    return record;
  }

  function reconfigure(): void {
    const groups = options.manifest()?.groups ?? [];
    const byName = new Map(groups.map(group => [group.name, group]));
    for (const [name, record] of records) {
      const group = byName.get(name);
      if (group === undefined) {
        record.close();
        records.delete(name);
      } else {
        record.update(group, options.liveProxyCount());
      }
    }
  }

  function loads(): TargetLoad[] {
    return [...records.values()].flatMap(record =>
      [...record.pools()].map(([target, pool]) => ({target, ...pool.load()})),
    );
  }

  const stopTicking = runtime.timer.every(TICK_INTERVAL_MS, () =>
    records.forEach(record => record.tick()),
  );

  return {
    get,
    reconfigure,
    loads,
    close() {
      stopTicking();
      records.forEach(record => record.close());
      records.clear();
    },
  };
}
