/** Maintains the views of all groups of the manifest in force. */
import type {Group} from '@kelpstep/manifest';
import type {GroupLeadership} from '@kelpstep/protocol';
import {Task, TaskHandle, sleep} from '@kelpstep/runtime';

import type {GroupView} from './group_view';
import {
  GroupViewOptions,
  ManagedGroupView,
  createGroupView,
} from './managed_group_view';

/** The views of all groups in the manifest, by group name. */
export interface GroupDirectory {
  /** The view of a group, if the manifest contains the group. */
  find(group: string): ManagedGroupView | undefined;
  views(): readonly GroupView[];
  /** Applies the groups of a new manifest; its version is 0 by default. */
  updateManifest(groups: readonly Group[], manifestVersion?: number): void;
  /** Adopts a peer's leadership report; ignores unknown groups and members. */
  learnLeadership(leadership: GroupLeadership): void;
  /** The newest known confirmed leadership of each group, sent to peers. */
  leaderships(): readonly GroupLeadership[];
  /**
   * Starts or stops failure detection by this proxy's current rank in each
   * group. Must be called when the live proxies or the platform's list of
   * instances change.
   */
  updateMonitoring(): void;
  close(): void;
}

/** Options that apply to the views of all groups. */
export type GroupDirectoryOptions = Omit<
  GroupViewOptions,
  'group' | 'manifestVersion'
>;

/** Number of groups that are updated before other tasks get to run. */
const UPDATE_BATCH_SIZE = 64;
const UPDATE_PAUSE_MS = 5;

/** Creates a directory that has no groups yet. */
export function createGroupDirectory(
  options: GroupDirectoryOptions,
): GroupDirectory {
  const views = new Map<string, ManagedGroupView>();
  let monitoringUpdate: TaskHandle<void> | undefined;

  function updateManifest(groups: readonly Group[], manifestVersion = 0): void {
    const names = new Set(groups.map(group => group.name));
    for (const [name, view] of views) {
      if (!names.has(name)) {
        view.close();
        views.delete(name);
      }
    }
    for (const group of groups) {
      const view = views.get(group.name);
      if (view === undefined) {
        views.set(
          group.name,
          createGroupView({
            groupCount: () => views.size,
            ...options,
            group,
            manifestVersion,
          }),
        );
      } else {
        view.updateGroup(group, manifestVersion);
      }
    }
    updateMonitoring();
  }

  function updateMonitoring(): void {
    monitoringUpdate?.cancel();
    monitoringUpdate = options.runtime.spawn(
      'review watching',
      updateInBatches(),
    );
  }

  /** Works in batches, as ranking the proxy in thousands of groups is slow. */
  function* updateInBatches(): Task<void> {
    let updatedCount = 0;
    for (const view of [...views.values()]) {
      view.updateMonitoring();
      updatedCount++;
      if (updatedCount % UPDATE_BATCH_SIZE === 0) {
        yield* sleep(UPDATE_PAUSE_MS);
      }
    }
  }

  function leaderships(): GroupLeadership[] {
    return [...views.values()].flatMap(view => {
      const leadership = view.lastLeadership();
      return leadership === undefined
        ? []
        : [{group: view.group, ...leadership}];
    });
  }

  return {
    find: group => views.get(group),
    views: () => [...views.values()],
    updateManifest,
    learnLeadership: ({group, term, primary}) =>
      views.get(group)?.learnLeadership({term, primary}),
    leaderships,
    updateMonitoring,
    close() {
      monitoringUpdate?.cancel();
      views.forEach(view => view.close());
      views.clear();
    },
  };
}
