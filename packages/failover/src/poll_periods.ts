/** Which members of a group are asked from time to time in place of a stream. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {GroupState} from './group_state';
import type {WatchPacePolicy} from './watch_pace';

/** The present periods of a group's members. */
export interface PollPeriods {
  /** Period of the questions to a member; undefined: follow its stream. */
  of(memberId: string): Milliseconds | undefined;
  /** Lets all links take up their periods. */
  review(): void;
  /** Goes back to the streams at once if the group is no longer settled. */
  endIfUnsettled(): void;
}

/** What the periods are made of. */
export interface PollPeriodsOptions {
  readonly state: GroupState;
  isInUse(): boolean;
  isLeaving(memberId: string): boolean;
  /** Rank as watcher; undefined if this proxy does not watch the group. */
  watchRank(): number | undefined;
  readonly watchPace: WatchPacePolicy;
  /** Groups of the manifest. */
  groupCount(): number;
}

/** Creates the periods of a group. */
export function createPollPeriods(options: PollPeriodsOptions): PollPeriods {
  const {state, isInUse, isLeaving} = options;

  /** A change of primary is settled with what the streams tell. */
  function isSettled(primary: string): boolean {
    return state.link(primary)?.condition() === 'open' && !isLeaving(primary);
  }

  function of(memberId: string): Milliseconds | undefined {
    const primary = state.leadership()?.primary;
    if (primary === undefined || isInUse() || !isSettled(primary)) {
      return undefined;
    }
    const rank = options.watchRank();
    if (rank === undefined) {
      return undefined;
    }
    const pace = options.watchPace(options.groupCount(), rank);
    return memberId === primary ? pace?.primary : pace?.replica;
  }

  function review(): void {
    state.links().forEach(link => link.reviewPace());
  }

  return {
    of,
    review,
    endIfUnsettled() {
      const primary = state.lastLeadership()?.primary ?? '';
      if (of(primary) === undefined) {
        review();
      }
    },
  };
}
