/** Creates the view of one group and runs what it needs. */
import type {Group, Member} from '@kelpstep/manifest';
import type {Failure} from '@kelpstep/protocol';
import type {Transport} from '@kelpstep/rpc';
import {
  Future,
  Runtime,
  Task,
  TaskHandle,
  Unsubscribe,
  sleep,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import {createMemberLink} from './create_member_link';
import {createGroupState} from './group_state';
import type {GroupView, Leadership, MemberView} from './group_view';
import {awaitLeadership} from './leadership_wait';
import {createMemberPreferences} from './member_preferences';
import {describeMembers, freshAt, holds} from './member_views';
import {runOrderedSwitchOver} from './ordered_switch_over';
import type {PromotionContext} from './promotion';
import {createPollPeriods} from './poll_periods';
import {createReadRounds} from './read_rounds';
import {DEFAULT_FAILOVER_TIMINGS, FailoverTimings} from './timings';
import {WatchPacePolicy, proportionalWatchPace} from './watch_pace';
import {LeadershipChange, Watcher, createWatcher} from './watcher';

/** A group's view with what its owner may tell it. */
export interface ManagedGroupView extends GroupView {
  /** Takes the group as a new manifest describes it. */
  updateGroup(group: Group, manifestVersion?: number): void;
  /** Takes in a leadership that a peer told. */
  learnLeadership(leadership: Leadership): void;
  /** The newest leadership known to have been confirmed, perhaps over. */
  lastLeadership(): Leadership | undefined;
  /** Starts or stops watching as `watchRank` says now. */
  reviewWatching(): void;
  /** An operator's order: move the leadership, to a given member if named. */
  orderSwitchOver(
    successor?: string,
  ): Future<Result<LeadershipChange, Failure>>;
  /** True while its streams are open. */
  isOpen(): boolean;
  /** Closes all streams and stops watching for good. */
  close(): void;
}

/** What a view is made of. */
export interface GroupViewOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly group: Group;
  /** Version of the manifest that the group is of; 0 by default. */
  readonly manifestVersion?: number;
  /** Times that differ from the defaults. */
  readonly timings?: Partial<FailoverTimings>;
  /** 0 to 65535, see `promoterNumberOf`. */
  readonly promoterNumber: number;
  /** Where this proxy is; a near candidate wins between equal logs. */
  readonly dataCentre: string;
  /** Rank as watcher of the group, 0 first; `undefined` if it is none. */
  watchRank(group: string): number | undefined;
  /** True if the platform calls the member leaving. */
  isLeaving(member: Member): boolean;
  /** Groups of the manifest; by default this one only. */
  groupCount?(): number;
  /** How often members are asked while the group is only watched. */
  readonly watchPace?: WatchPacePolicy;
  /** Called when this proxy has brought about a change of leadership. */
  onLeadershipChange?(change: LeadershipChange): void;
  /** Called when a newer confirmed leadership became known, however. */
  onLeadershipLearned?(group: string, leadership: Leadership): void;
}

/** Creates the view of a group; it opens streams when it is used or watched. */
export function createGroupView(options: GroupViewOptions): ManagedGroupView {
  const {runtime, transport} = options;
  const {timer} = runtime;
  const timings = {...DEFAULT_FAILOVER_TIMINGS, ...options.timings};
  const state = createGroupState({
    timer,
    group: options.group,
    manifestVersion: options.manifestVersion ?? 0,
    createLink(member, onChange) {
      const pollPeriod = () => pollPeriods.of(member.id);
      const common = {runtime, transport, timings, member};
      return createMemberLink({...common, pollPeriod, onChange});
    },
    onLeadership: leadership =>
      options.onLeadershipLearned?.(options.group.name, leadership),
  });
  const preferences = createMemberPreferences({
    members: state.members,
    dataCentre: options.dataCentre,
    isCalledLeaving: options.isLeaving,
  });
  const {isLeaving} = preferences;
  const pollPeriods = createPollPeriods({
    state,
    isInUse,
    isLeaving,
    watchRank,
    watchPace: options.watchPace ?? proportionalWatchPace,
    groupCount: options.groupCount ?? (() => 1),
  });
  const rounds = createReadRounds({
    runtime,
    timings,
    links: state.links,
    groupSize: state.groupSize,
    onSuccess(result, askedAt) {
      state.freshness.record(askedAt, result.end);
      state.endDoubt();
    },
  });
  const context: PromotionContext = {
    runtime,
    timings,
    state,
    promoterNumber: options.promoterNumber,
    cost: preferences.cost,
  };
  let isOpen = false;
  let isClosed = false;
  let lastUse = -Infinity;
  let watcher: Watcher | undefined;
  let background: TaskHandle<never> | undefined;
  let cancelIdleCheck: Unsubscribe = () => {};
  let stopReviewingPace: Unsubscribe = () => {};
  let views: readonly MemberView[] | undefined;
  state.onChange(() => {
    views = undefined;
  });

  function touch(): void {
    const wasInUse = isInUse();
    lastUse = timer.now();
    open();
    if (!wasInUse) {
      pollPeriods.review();
    }
  }

  function isInUse(): boolean {
    return timer.now() - lastUse < timings.idleTime;
  }

  function watchRank(): number | undefined {
    return options.watchRank(options.group.name);
  }

  function open(): void {
    if (isOpen || isClosed) {
      return;
    }
    isOpen = true;
    state.open();
    background = runtime.spawn('group rounds', runBackgroundRounds());
    cancelIdleCheck = timer.every(timings.idleTime / 4, closeIfIdle);
    stopReviewingPace = state.onShift(pollPeriods.endIfUnsettled);
    startWatching();
  }

  function startWatching(): void {
    if (watcher === undefined && watchRank() !== undefined) {
      watcher = createWatcher({
        context,
        rank: watchRank,
        isLeaving,
        majorityAskedAt: rounds.lastSuccessAskedAt,
        onLeadershipChange: change => options.onLeadershipChange?.(change),
      });
    }
  }

  function stopWatching(): void {
    watcher?.stop();
    watcher = undefined;
  }

  function closeStreams(): void {
    isOpen = false;
    stopWatching();
    background?.cancel();
    cancelIdleCheck();
    stopReviewingPace();
    rounds.close();
    state.close();
  }

  function closeIfIdle(): void {
    if (!isInUse() && watchRank() === undefined) {
      closeStreams();
      return;
    }
    pollPeriods.review();
  }

  function reviewWatching(): void {
    if (isClosed) {
      return;
    }
    if (watchRank() === undefined) {
      stopWatching();
    } else {
      open();
      startWatching();
    }
  }

  /** A group that is only watched needs rounds just to settle a doubt. */
  function* runBackgroundRounds(): Task<never> {
    for (;;) {
      yield* sleep(timings.roundPeriod);
      const isUnsettled =
        state.leadership() === undefined ||
        state.statuses().some(status => status.end.position === 0);
      if (isInUse() || isUnsettled) {
        rounds.refresh();
      }
    }
  }

  function orderSwitchOver(
    successor?: string,
  ): Future<Result<LeadershipChange, Failure>> {
    touch();
    const name = `switch-over ${options.group.name}`;
    const task = runOrderedSwitchOver(context, isLeaving, successor);
    const result = runtime.spawn(name, task).result;
    result.onSettled(change => {
      if (change.ok) {
        options.onLeadershipChange?.(change.val);
      }
    });
    return result;
  }

  return {
    group: options.group.name,
    touch,
    leadership: state.leadership,
    members: () => (views ??= describeMembers(state, isLeaving)),
    confirmed: () => state.confirmed().at,
    holds: (memberId, wanted) => holds(state, memberId, wanted),
    freshAt: end => freshAt(state, end),
    confirmation(wanted, deadline) {
      touch();
      return state.waiters.wait(wanted, deadline);
    },
    readBarrier(deadline) {
      touch();
      return rounds.barrier(deadline);
    },
    awaitLeadership(deadline) {
      touch();
      return awaitLeadership(timer, state, deadline);
    },
    observeTerm(term) {
      state.observeTerm(term);
      rounds.refresh();
    },
    observeSilence: memberId => state.link(memberId)?.suspect(),
    onChange: state.onShift,
    updateGroup(group, manifestVersion = 0) {
      state.setGroup(group, manifestVersion);
      if (isOpen) {
        state.open();
      }
      reviewWatching();
    },
    learnLeadership: state.learnLeadership,
    lastLeadership: state.lastLeadership,
    reviewWatching,
    orderSwitchOver,
    isOpen: () => isOpen,
    close() {
      isClosed = true;
      closeStreams();
    },
  };
}
