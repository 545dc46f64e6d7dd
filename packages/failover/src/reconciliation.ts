/** Makes members follow the present primary. */
import {TargetStatus, targetFollow} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Leadership} from './group_view';
import type {MemberLink} from './member_link';
import {findPrimary} from './member_status';
import type {PromotionContext} from './promotion';

/** A reachable member that may have to be made to follow the primary. */
export interface Follower {
  readonly id: string;
  readonly status: TargetStatus;
  /** Monotonic time of the first status from the member's present process. */
  readonly incarnationSince: Milliseconds;
}

/**
 * Returns the members that may and should be made to follow the primary in its
 * term, such as a former primary, a restarted replica or a new member.
 *
 * An empty member may have lost a fence at a higher term. Unless it is at the
 * present term already, it is admitted only after a majority of the others has
 * answered in that term since the member's process was first seen.
 * `majorityProbedAt` is the time of the probes of the last such round. Empty
 * members don't count in rounds.
 */
export function findDetachedMembers(
  followers: readonly Follower[],
  leadership: Leadership,
  address: string,
  majorityProbedAt: Milliseconds,
): string[] {
  return followers
    .filter(({id, status, incarnationSince}) => {
      const admitted =
        status.end.position > 0 ||
        status.term === leadership.term ||
        majorityProbedAt >= incarnationSince;
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
  // A member at a higher term would refuse; it needs a new promotion.
  return (
    status.term > term || (status.term === term && status.following === address)
  );
}

/** Repeats requests to follow until the members do so. */
export interface Reconciler {
  /**
   * Sends the requests that are due. A request is due later at a higher rank.
   */
  reattachMembers(rank: number): void;
}

/** Creates a reconciler; `findDetachedMembers` explains `majorityProbedAt`. */
export function createReconciler(
  {state, timings, runtime}: PromotionContext,
  majorityProbedAt: () => Milliseconds,
): Reconciler {
  const {timer} = runtime;
  const detachedSince = new Map<string, Milliseconds>();
  const requestedAt = new Map<string, Milliseconds>();

  function reattachMembers(rank: number): void {
    const followers = state.links().flatMap(toFollower);
    const leadership = currentPrimary(followers);
    const address = state.link(leadership?.primary ?? '')?.member.address;
    if (leadership === undefined || address === undefined) {
      return;
    }
    const detachedIds = new Set(
      findDetachedMembers(followers, leadership, address, majorityProbedAt()),
    );
    for (const link of state.links()) {
      if (!detachedIds.has(link.member.id)) {
        detachedSince.delete(link.member.id);
      } else if (isDue(link.member.id, rank)) {
        requestFollow(link, leadership.term, address);
      }
    }
  }

  /**
   * Returns the primary of the highest term, whether or not its barrier is
   * confirmed: the barrier may need the members that don't follow yet.
   */
  function currentPrimary(
    followers: readonly Follower[],
  ): Leadership | undefined {
    const primary = findPrimary(followers.map(({status}) => status));
    const known = state.lastLeadership()?.term ?? 0;
    return primary === undefined || primary.term < known
      ? undefined
      : {term: primary.term, primary: primary.target};
  }

  function isDue(memberId: string, rank: number): boolean {
    const since = detachedSince.get(memberId) ?? timer.now();
    detachedSince.set(memberId, since);
    const last = requestedAt.get(memberId) ?? -Infinity;
    return (
      timer.now() - since >= rank * timings.rankDelay &&
      timer.now() - last >= timings.followInterval
    );
  }

  function requestFollow(
    link: MemberLink,
    term: number,
    primary: string,
  ): void {
    requestedAt.set(link.member.id, timer.now());
    link.request(targetFollow, {term, primary}, timings.requestTimeout);
  }

  return {reattachMembers};
}

function toFollower(link: MemberLink): Follower[] {
  const status = link.status();
  if (link.condition() !== 'open' || status === undefined) {
    return [];
  }
  const incarnationSince = link.incarnationSince();
  return [{id: link.member.id, status, incarnationSince}];
}
