/** Selects the members of a group that are probed instead of streaming. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupState} from './group_state';
import type {ProbeIntervalPolicy} from './probe_intervals';

export interface ProbeSchedule {
  /** Probe interval of a member; `undefined` if its status is streamed. */
  intervalOf(memberId: string): Milliseconds | undefined;
  /** Applies the intervals to all control connections. */
  apply(): void;
  /**
   * Applies the intervals at once if the last known primary has no probe
   * interval, so that its status stream resumes.
   */
  applyIfUnsettled(): void;
}

export interface ProbeScheduleOptions {
  readonly state: GroupState;
  isInUse(): boolean;
  isLeaving(memberId: string): boolean;
  /** Failure detector's rank; `undefined` if this proxy runs none. */
  watchRank(): number | undefined;
  readonly probeIntervalPolicy: ProbeIntervalPolicy;
  /** Number of groups in the manifest. */
  groupCount(): number;
}

export function createProbeSchedule(
  options: ProbeScheduleOptions,
): ProbeSchedule {
  const {state, isInUse, isLeaving} = options;

  /**
   * True if the primary is reachable and not leaving. Otherwise it may have to
   * be replaced, which needs the status streams.
   */
  function isSettled(primary: string): boolean {
    return state.link(primary)?.condition() === 'open' && !isLeaving(primary);
  }

  function intervalOf(memberId: string): Milliseconds | undefined {
    const primary = state.leadership()?.primary;
    if (primary === undefined || isInUse() || !isSettled(primary)) {
      return undefined;
    }
    const rank = options.watchRank();
    if (rank === undefined) {
      return undefined;
    }
    const intervals = options.probeIntervalPolicy(options.groupCount(), rank);
    return memberId === primary ? intervals?.primary : intervals?.replica;
  }

  function apply(): void {
    state.links().forEach(link => link.applyProbeInterval());
  }

  return {
    intervalOf,
    apply,
    applyIfUnsettled() {
      const primary = state.lastLeadership()?.primary ?? '';
      if (intervalOf(primary) === undefined) {
        apply();
      }
    },
  };
}
