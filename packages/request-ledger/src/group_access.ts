/** A group as the request path uses it: its view and its targets' pools. */
import type {GroupView, Leadership} from '@kelpstep/failover';
import type {TargetPool} from '@kelpstep/pool';
import type {Effect, Milliseconds} from '@kelpstep/runtime';

/** A group with the pools of its members. */
export interface GroupAccess {
  readonly view: GroupView;
  /** The pool of a member; undefined if the manifest has no such member. */
  pool(memberId: string): TargetPool | undefined;
  /** False once a leaving primary has had its time to be switched over. */
  takesWrites(memberId: string): boolean;
  /** When requests began to find no primary; undefined while they find one. */
  troubleSince(): Milliseconds | undefined;
  /** Since when too few members are reachable for a majority. */
  majorityLostSince(): Milliseconds | undefined;
  /** True while the view of a group that was idle is still being opened. */
  isCold(): boolean;
  /** A request found no primary that serves it. */
  noteTrouble(): void;
  /** A primary served a request. */
  noteService(): void;
  /** Average time from a target's answer to its confirmation. */
  confirmationTime(): Milliseconds;
  noteConfirmationTime(duration: Milliseconds): void;
}

/** True if the view reaches more than half of the group's members. */
export function reachesMajority(view: GroupView): boolean {
  const members = view.members();
  const reachable = members.filter(member => member.reachable).length;
  return 2 * reachable > members.length;
}

/** An effect that ends once the view knows a leadership above a term. */
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

/** An effect that ends with the next change of leadership or members. */
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
