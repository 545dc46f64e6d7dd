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

/** Reads responsibilities off the membership, as it is at each call. */
export function createResponsibilities(
  membership: Membership,
): Responsibilities {
  const {proxy, incarnation, dataCentre} = membership.self;

  return {
    watchRank(group) {
      if (!membership.isResponsible(group, WATCHERS)) {
        return undefined;
      }
      const rank = membership
        .responsibleFor(group, WATCHERS)
        .findIndex(
          other => other.proxy === proxy && other.incarnation === incarnation,
        );
      return rank < 0 ? undefined : rank;
    },
    polls: what => membership.isResponsible(what, POLLERS, dataCentre),
  };
}
