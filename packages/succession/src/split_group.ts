/**
 * Decides whether a primary that this proxy has lost is replaced, from what its
 * peers reach. Does no input or output.
 *
 * This matters when a partition leaves no proxy that reaches both the primary
 * and a replica, so that no proxy can confirm a write or prove freshness.
 */

/** A peer's answer whether it reaches a group's primary. */
export interface PeerView {
  readonly reachesPrimary: boolean;
  /**
   * True if the peer reaches a target other than the primary. Older proxies
   * don't send it; it then counts as true.
   */
  readonly reachesReplica?: boolean | undefined;
}

/**
 * How peers reach a primary. `serving`: at least one reaches it and a replica;
 * `split`: some reach it, but none of these reaches a replica; `unreached`: no
 * peer is known to reach it.
 */
export type PrimaryView = 'serving' | 'split' | 'unreached';

/** Combines the answers of the peers that answered. */
export function combinePeerViews(views: readonly PeerView[]): PrimaryView {
  const reaching = views.filter(({reachesPrimary}) => reachesPrimary);
  if (reaching.some(({reachesReplica = true}) => reachesReplica)) {
    return 'serving';
  }
  return reaching.length > 0 ? 'split' : 'unreached';
}

/** State of a group from the point of view of a proxy that lost its primary. */
export interface LostPrimary {
  /** `missing`: this proxy knows no primary. */
  readonly reason: 'lost' | 'missing';
  readonly view: PrimaryView;
  readonly hasSynchronousReplicas: boolean;
  /**
   * True if a change can be finished from here: this proxy reaches each target
   * that it has to pause, or the target of a promotion that is ordered already.
   */
  readonly canFinish: boolean;
}

/**
 * Returns the reason for which the primary is to be replaced, or undefined if
 * it stays. A change for `split`, or without a known primary, begins only if it
 * can be finished: its row would hold up the other proxies for seconds, and
 * these may reach the targets that this one doesn't. Groups without
 * synchronous replicas confirm writes at the primary alone, so that a primary
 * that some proxy reaches is left in place.
 */
export function reasonToReplace(
  lost: LostPrimary,
): 'lost' | 'missing' | 'split' | undefined {
  const {reason, view, hasSynchronousReplicas, canFinish} = lost;
  switch (view) {
    case 'serving':
      return undefined;
    case 'split':
      return hasSynchronousReplicas && canFinish ? 'split' : undefined;
    case 'unreached':
      return reason === 'missing' && hasSynchronousReplicas && !canFinish
        ? undefined
        : reason;
  }
}
