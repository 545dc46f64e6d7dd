/** The views of all groups of the manifest in force. */
import type {Group} from '@kelpstep/manifest';
import type {GroupLeadership} from '@kelpstep/protocol';
import {Task, TaskHandle, sleep} from '@kelpstep/runtime';

import type {GroupView} from './group_view';
import {
  GroupViewOptions,
  ManagedGroupView,
  createGroupView,
} from './managed_group_view';

/** Views by group name. */
export interface GroupDirectory {
  /** The view of a group, if the manifest has it. */
  find(group: string): ManagedGroupView | undefined;
  views(): readonly GroupView[];
  /** Takes the groups of a new manifest, and its version. */
  updateManifest(groups: readonly Group[], manifestVersion?: number): void;
  /** Takes in what a peer told. Unknown groups and members are ignored. */
  learnLeadership(leadership: GroupLeadership): void;
  /** The newest confirmed leaderships known, for peers. */
  leaderships(): readonly GroupLeadership[];
  /** Call after each change of the live proxies or the platform's list. */
  reviewWatching(): void;
  close(): void;
}

/** What a directory is made of: what its views have in common. */
export type GroupDirectoryOptions = Omit<
  GroupViewOptions,
  'group' | 'manifestVersion'
>;

/** Groups whose watching is reviewed without a pause. */
const REVIEW_BATCH = 64;
const REVIEW_PAUSE = 5;

/** Creates a directory without groups. */
export function createGroupDirectory(
  options: GroupDirectoryOptions,
): GroupDirectory {
  const views = new Map<string, ManagedGroupView>();
  let review: TaskHandle<void> | undefined;

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
    reviewWatching();
  }

  function reviewWatching(): void {
    review?.cancel();
    review = options.runtime.spawn('review watching', runReview());
  }

  /** In batches: ranking a proxy for thousands of groups takes a while. */
  function* runReview(): Task<void> {
    let reviewed = 0;
    for (const view of [...views.values()]) {
      view.reviewWatching();
      reviewed++;
      if (reviewed % REVIEW_BATCH === 0) {
        yield* sleep(REVIEW_PAUSE);
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
    reviewWatching,
    close() {
      review?.cancel();
      views.forEach(view => view.close());
      views.clear();
    },
  };
}
