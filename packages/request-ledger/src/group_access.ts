/** Gives requests access to a group's view and target pools. */
import type {GroupView, Leadership} from '@kelpstep/failover';
import type {TargetPool} from '@kelpstep/pool';
import type {Effect, Milliseconds} from '@kelpstep/runtime';

/** A group's view, the pools of its members and its availability. */
export interface GroupAccess {
  readonly view: GroupView;
  /** Returns `undefined` if the manifest has no such member. */
  pool(memberId: string): TargetPool | undefined;
  /** False if the member has been leaving for longer than the grace period. */
  acceptsWrites(memberId: string): boolean;
  /**
   * Monotonic time since which requests have found no primary; `undefined`
   * while they find one.
   */
  troubleSince(): Milliseconds | undefined;
  /**
   * Monotonic time since which no majority is reachable; `undefined` while one
   * is.
   */
  majorityLostSince(): Milliseconds | undefined;
  /**
   * True for a short time after the first use of an idle group, until its view
   * has opened its streams.
   */
  isCold(): boolean;
  /**
   * True for some time after the first request, until a primary is known: the
   * group may have one that other proxies know.
   */
  isLearningPrimary(): boolean;
  /** Records that a request found no primary. */
  reportPrimaryUnavailable(): void;
  /** Records that a primary served a request. */
  reportPrimaryAvailable(): void;
  /** Moving average of the time from a target's answer to its confirmation. */
  confirmationTime(): Milliseconds;
  observeConfirmationTime(duration: Milliseconds): void;
}

/** True if more than half of the group's members are reachable. */
export function reachesMajority(view: GroupView): boolean {
  const members = view.members();
  const reachable = members.filter(member => member.reachable).length;
  return 2 * reachable > members.length;
}

/**
 * Returns an effect that ends once the view knows a leadership of a higher
 * term.
 */
export function leadershipAbove(
  view: GroupView,
  term: number,
): Effect<Leadership> {
  return {
    start(unusedTimer, resume) {
      let isOver = false;
      const unsubscribe = view.onChange(check);

      function check(): void {
        const leadership = view.leadership();
        if (!isOver && leadership !== undefined && leadership.term > term) {
          isOver = true;
          unsubscribe();
          resume(leadership);
        }
      }

      check();
      return unsubscribe;
    },
  };
}

/** Returns an effect that ends at the next change of leadership or members. */
export function nextChange(view: GroupView): Effect<undefined> {
  return {
    start(unusedTimer, resume) {
      const unsubscribe = view.onChange(() => {
        unsubscribe();
        resume(undefined);
      });
      return unsubscribe;
    },
  };
}
