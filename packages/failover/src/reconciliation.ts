/** Tells members that don't follow the present primary to do so. */
import {TargetStatus, targetFollow} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Leadership} from './group_view';
import type {MemberLink} from './member_link';
import {findPrimary} from './member_status';
import type {PromotionContext} from './promotion';

/** A member as the reconciliation sees it. */
export interface Follower {
  readonly id: string;
  readonly status: TargetStatus;
  /** Monotonic time at which its process was first seen. */
  readonly incarnationSince: Milliseconds;
}

/**
 * Members that don't follow the primary in its term: a returned former
 * primary, a restarted replica, a new member.
 *
 * One that is empty may have forgotten a fence of a higher term. So unless it
 * is bound to the present term it is admitted only after a majority of others
 * answered that term since its process appeared: `majorityAskedAt` is when
 * the last such round was sent (empty members don't count in rounds).
 */
export function findStrays(
  followers: readonly Follower[],
  leadership: Leadership,
  address: string,
  majorityAskedAt: Milliseconds,
): string[] {
  return followers
    .filter(({id, status, incarnationSince}) => {
      const admitted =
        status.end.position > 0 ||
        status.term === leadership.term ||
        majorityAskedAt >= incarnationSince;
      return (
        id !== leadership.primary &&
        admitted &&
        !isFollowing(status, leadership, address)
      );
    })
    .map(({id}) => id);
}

function isFollowing(
  status: TargetStatus,
  {term}: Leadership,
  address: string,
): boolean {
  // A higher term refuses the order; only a new promotion mends that.
  return (
    status.term > term || (status.term === term && status.following === address)
  );
}

/** Repeats orders to follow until they are obeyed. */
export interface Reconciler {
  /** Orders what is due; watchers of a higher rank hold back for a while. */
  bringBackStrays(rank: number): void;
}

/** Creates a reconciler; `majorityAskedAt` is described at `findStrays`. */
export function createReconciler(
  {state, timings, runtime}: PromotionContext,
  majorityAskedAt: () => Milliseconds,
): Reconciler {
  const {timer} = runtime;
  const strayingSince = new Map<string, Milliseconds>();
  const orderedAt = new Map<string, Milliseconds>();

  function bringBackStrays(rank: number): void {
    const followers = state.links().flatMap(describeFollower);
    const leadership = presentPrimary(followers);
    const address = state.link(leadership?.primary ?? '')?.member.address;
    if (leadership === undefined || address === undefined) {
      return;
    }
    const strays = new Set(
      findStrays(followers, leadership, address, majorityAskedAt()),
    );
    for (const link of state.links()) {
      if (!strays.has(link.member.id)) {
        strayingSince.delete(link.member.id);
      } else if (isDue(link.member.id, rank)) {
        order(link, leadership.term, address);
      }
    }
  }

  /**
   * The primary of the highest term, its barrier confirmed or not: members
   * that nobody told to follow may be what the barrier waits for.
   */
  function presentPrimary(
    followers: readonly Follower[],
  ): Leadership | undefined {
    const primary = findPrimary(followers.map(({status}) => status));
    const known = state.lastLeadership()?.term ?? 0;
    return primary === undefined || primary.term < known
      ? undefined
      : {term: primary.term, primary: primary.target};
  }

  function isDue(memberId: string, rank: number): boolean {
    const since = strayingSince.get(memberId) ?? timer.now();
    strayingSince.set(memberId, since);
    const last = orderedAt.get(memberId) ?? -Infinity;
    return (
      timer.now() - since >= rank * timings.rankDelay &&
      timer.now() - last >= timings.followSpacing
    );
  }

  function order(link: MemberLink, term: number, primary: string): void {
    orderedAt.set(link.member.id, timer.now());
    link.request(targetFollow, {term, primary}, timings.requestTimeout);
  }

  return {bringBackStrays};
}

function describeFollower(link: MemberLink): Follower[] {
  const status = link.status();
  if (link.condition() !== 'open' || status === undefined) {
    return [];
  }
  const incarnationSince = link.incarnationSince();
  return [{id: link.member.id, status, incarnationSince}];
}
