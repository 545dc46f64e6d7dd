/** Which of the work that few proxies do for all falls to this one. */
import type {Membership} from '@kelpstep/membership';

/** Proxies that watch a group. */
const WATCHERS = 3;
/** Proxies of each data centre that read the platform for the others. */
const POLLERS = 2;

/** What this proxy does for others. */
export interface Responsibilities {
  /** Rank as watcher of a group, 0 first; undefined if it is none. */
  watchRank(group: string): number | undefined;
  /** True if it reads something of the platform for its data centre. */
  polls(what: 'manifest' | 'instances'): boolean;
}

/**
 * Reads responsibilities off the membership. Ranks are kept until the live
 * proxies change: a watcher asks for its rank at each look at its group, and
 * to rank among thousands of proxies takes long.
 */
export function createResponsibilities(
  membership: Membership,
): Responsibilities {
  const {proxy, incarnation, dataCentre} = membership.self;

  const ranks = new Map<string, number>();
  membership.onChange(() => ranks.clear());

  /** Below 0 if it is none of the watchers. */
  function findRank(group: string): number {
    if (!membership.isResponsible(group, WATCHERS)) {
      return -1;
    }
    return membership
      .responsibleFor(group, WATCHERS)
      .findIndex(
        other => other.proxy === proxy && other.incarnation === incarnation,
      );
  }

  return {
    watchRank(group) {
      const rank = ranks.get(group) ?? findRank(group);
      ranks.set(group, rank);
      return rank < 0 ? undefined : rank;
    },
    polls: what => membership.isResponsible(what, POLLERS, dataCentre),
  };
}
