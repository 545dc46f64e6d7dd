/** Creates the view of one group and runs its background tasks. */
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
import {
  FailureDetector,
  LeadershipChange,
  createFailureDetector,
} from './failure_detector';
import {createGroupState} from './group_state';
import type {GroupView, Leadership, MemberView} from './group_view';
import {awaitLeadership} from './leadership_wait';
import {createMemberPreferences} from './member_preferences';
import {describeMembers, freshAt, holds} from './member_views';
import {runOperatorSwitchOver} from './operator_switch_over';
import {
  ProbeIntervalPolicy,
  proportionalProbeIntervals,
} from './probe_intervals';
import {createProbeSchedule} from './probe_schedule';
import type {PromotionContext} from './promotion';
import {createReadRounds} from './read_rounds';
import {DEFAULT_FAILOVER_TIMINGS, FailoverTimings} from './timings';

/**
 * A group's view with the operations of its administration, which requests
 * don't use.
 */
export interface ManagedGroupView extends GroupView {
  /** Applies a new manifest's description; its version is 0 by default. */
  updateGroup(group: Group, manifestVersion?: number): void;
  /** Adopts a confirmed leadership reported by a peer if it is newer. */
  learnLeadership(leadership: Leadership): void;
  /** The newest leadership known to be confirmed; it may have ended. */
  lastLeadership(): Leadership | undefined;
  /**
   * Starts or stops failure detection, which runs while `watchRank` returns a
   * rank.
   */
  updateMonitoring(): void;
  /**
   * Carries out an operator's request to change the primary. Without
   * `successor`, the reachable voter with the most records that is not leaving
   * is chosen.
   */
  requestSwitchOver(
    successor?: string,
  ): Future<Result<LeadershipChange, Failure>>;
  /** True while the control connections to the members are open. */
  isOpen(): boolean;
  /** Closes all connections and stops failure detection permanently. */
  close(): void;
}

/**
 * Options of a group's view; the callbacks may be called at any time until the
 * view is closed.
 */
export interface GroupViewOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly group: Group;
  /** Version of the manifest that describes the group; 0 by default. */
  readonly manifestVersion?: number;
  /** Overrides of `DEFAULT_FAILOVER_TIMINGS`. */
  readonly timings?: Partial<FailoverTimings>;
  /** Number from 0 to 65535, as returned by `promoterNumberOf`. */
  readonly promoterNumber: number;
  /** Data centre of this proxy; preferred when candidates' logs are equal. */
  readonly dataCentre: string;
  /**
   * This proxy's rank among the failure detectors of a group, 0 acts first;
   * `undefined` if it doesn't monitor the group.
   */
  watchRank(group: string): number | undefined;
  /** True if the platform marks the member as leaving. */
  isLeaving(member: Member): boolean;
  /** Number of groups in the manifest; 1 by default. */
  groupCount?(): number;
  /**
   * Chooses the probe intervals of a group that is monitored but not used;
   * `proportionalProbeIntervals` by default.
   */
  readonly probeIntervalPolicy?: ProbeIntervalPolicy;
  /** Called when this proxy has carried out a change of leadership. */
  onLeadershipChange?(change: LeadershipChange): void;
  /** Called when a newer confirmed leadership becomes known by any means. */
  onLeadershipLearned?(group: string, leadership: Leadership): void;
}

/** Creates the view of a group, which connects once it is used or monitored. */
export function createGroupView(options: GroupViewOptions): ManagedGroupView {
  const {runtime, transport} = options;
  const {timer} = runtime;
  const timings = {...DEFAULT_FAILOVER_TIMINGS, ...options.timings};
  const state = createGroupState({
    timer,
    group: options.group,
    manifestVersion: options.manifestVersion ?? 0,
    createLink(member, onChange) {
      const probeInterval = () => probeSchedule.intervalOf(member.id);
      const common = {runtime, transport, timings, member};
      return createMemberLink({...common, probeInterval, onChange});
    },
    onLeadership: leadership =>
      options.onLeadershipLearned?.(options.group.name, leadership),
  });
  const preferences = createMemberPreferences({
    members: state.members,
    dataCentre: options.dataCentre,
    isMarkedLeaving: options.isLeaving,
  });
  const {isLeaving} = preferences;
  const probeSchedule = createProbeSchedule({
    state,
    isInUse,
    isLeaving,
    watchRank,
    probeIntervalPolicy:
      options.probeIntervalPolicy ?? proportionalProbeIntervals,
    groupCount: options.groupCount ?? (() => 1),
  });
  const rounds = createReadRounds({
    runtime,
    timings,
    links: state.links,
    groupSize: state.groupSize,
    onSuccess(result, probedAt) {
      state.freshness.record(probedAt, result.end);
      state.clearDoubt();
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
  let failureDetector: FailureDetector | undefined;
  let backgroundRounds: TaskHandle<never> | undefined;
  let cancelIdleCheck: Unsubscribe = () => {};
  let unsubscribeTopology: Unsubscribe = () => {};
  let memberViews: readonly MemberView[] | undefined;
  state.onChange(() => {
    memberViews = undefined;
  });

  function touch(): void {
    const wasInUse = isInUse();
    lastUse = timer.now();
    open();
    if (!wasInUse) {
      probeSchedule.apply();
    }
  }

  function isInUse(): boolean {
    return timer.now() - lastUse < timings.idleTimeout;
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
    backgroundRounds = runtime.spawn('group rounds', runBackgroundRounds());
    cancelIdleCheck = timer.every(timings.idleTimeout / 4, closeIfIdle);
    unsubscribeTopology = state.onTopologyChange(
      probeSchedule.applyIfUnsettled,
    );
    startMonitoring();
  }

  function startMonitoring(): void {
    if (failureDetector === undefined && watchRank() !== undefined) {
      failureDetector = createFailureDetector({
        context,
        rank: watchRank,
        isLeaving,
        majorityProbedAt: rounds.lastSuccessProbedAt,
        onLeadershipChange: change => options.onLeadershipChange?.(change),
      });
    }
  }

  function stopMonitoring(): void {
    failureDetector?.stop();
    failureDetector = undefined;
  }

  function closeStreams(): void {
    isOpen = false;
    stopMonitoring();
    backgroundRounds?.cancel();
    cancelIdleCheck();
    unsubscribeTopology();
    rounds.close();
    state.close();
  }

  function closeIfIdle(): void {
    if (!isInUse() && watchRank() === undefined) {
      closeStreams();
      return;
    }
    probeSchedule.apply();
  }

  function updateMonitoring(): void {
    if (isClosed) {
      return;
    }
    if (watchRank() === undefined) {
      stopMonitoring();
    } else {
      open();
      startMonitoring();
    }
  }

  /**
   * Runs rounds periodically. In a group in use they keep the bounds of
   * replicas' ages recent; in an unused group they run only while its
   * leadership is unknown or a member is empty.
   */
  function* runBackgroundRounds(): Task<never> {
    for (;;) {
      yield* sleep(timings.roundInterval);
      const isUncertain =
        state.leadership() === undefined ||
        state.statuses().some(status => status.end.position === 0);
      if (isInUse() || isUncertain) {
        rounds.refresh();
      }
    }
  }

  function requestSwitchOver(
    successor?: string,
  ): Future<Result<LeadershipChange, Failure>> {
    touch();
    const name = `switch-over ${options.group.name}`;
    const task = runOperatorSwitchOver(context, isLeaving, successor);
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
    members: () => (memberViews ??= describeMembers(state, isLeaving)),
    confirmed: () => state.confirmed().at,
    holds: (memberId, record) => holds(state, memberId, record),
    freshAt: end => freshAt(state, end),
    confirmation(record, deadline) {
      touch();
      return state.waiters.wait(record, deadline);
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
    reportUnresponsive: memberId => state.link(memberId)?.suspect(),
    onChange: state.onTopologyChange,
    updateGroup(group, manifestVersion = 0) {
      state.setGroup(group, manifestVersion);
      if (isOpen) {
        state.open();
      }
      updateMonitoring();
    },
    learnLeadership: state.learnLeadership,
    lastLeadership: state.lastLeadership,
    updateMonitoring,
    requestSwitchOver,
    isOpen: () => isOpen,
    close() {
      isClosed = true;
      closeStreams();
    },
  };
}
