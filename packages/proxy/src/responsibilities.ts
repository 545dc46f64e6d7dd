/** Determines which shared tasks this proxy performs for other proxies. */
import type {Membership} from '@kelpstep/membership';

/** Number of proxies that run a failure detector for a group. */
const DETECTORS_PER_GROUP = 3;
/** Number of proxies per data centre that poll the platform for the others. */
const POLLERS_PER_DATA_CENTRE = 2;

/** The shared tasks that this proxy performs. */
export interface Responsibilities {
  /**
   * Rank among the failure detectors of a group, counted from 0; undefined if
   * this proxy does not monitor the group.
   */
  watchRank(group: string): number | undefined;
  /** Returns whether this proxy polls the data for its data centre. */
  polls(what: 'manifest' | 'instances'): boolean;
}

/**
 * Derives responsibilities from the membership. Ranks are cached until the live
 * proxies change, as a failure detector needs its rank at every check of its
 * group, and ranking thousands of proxies is slow.
 */
export function createResponsibilities(
  membership: Membership,
): Responsibilities {
  const {proxy, incarnation, dataCentre} = membership.self;

  const ranks = new Map<string, number>();
  membership.onChange(() => ranks.clear());

  /** Returns a value below 0 if this proxy does not monitor the group. */
  function findRank(group: string): number {
    if (!membership.isResponsible(group, DETECTORS_PER_GROUP)) {
      return -1;
    }
    return membership
      .responsibleFor(group, DETECTORS_PER_GROUP)
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
    polls: what =>
      membership.isResponsible(what, POLLERS_PER_DATA_CENTRE, dataCentre),
  };
}
