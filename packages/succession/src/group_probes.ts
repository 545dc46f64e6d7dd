/** Status probes of a group's targets before a change of primary. */
import {compareLogPositions} from '@kelpstep/protocol';
import {type Milliseconds, type Task, sleep, waitFor} from '@kelpstep/runtime';
import type {TargetStatus} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

/** A target and its answer to a probe. */
export interface ProbedTarget {
  readonly link: TargetLink;
  readonly status: TargetStatus;
}

export interface GroupProbes {
  reachedLinks(): TargetLink[];
  /** Probes targets in parallel; omits those that don't answer. */
  probeStatuses(links: readonly TargetLink[]): Task<ProbedTarget[]>;
  /**
   * True if `leader` reports itself primary and every reachable replica lacks
   * records of its log; false if no replica is reachable. The replicas are
   * probed repeatedly, because a replica is briefly behind under normal
   * operation too.
   */
  isIsolated(leader: TargetLink | undefined): Task<boolean>;
  /** Probes all targets that this proxy reaches. */
  probeReached(): Task<ProbedTarget[]>;
  /** Returns the highest term known to this proxy or to the probed targets. */
  highestTerm(probed: readonly ProbedTarget[]): number;
  /** The same without terms for which targets are held only. */
  newestTerm(probed: readonly ProbedTarget[]): number;
}

/**
 * A primary is isolated if this many probes in a row find all replicas behind.
 */
const ISOLATION_PROBE_COUNT = 2;
/**
 * Delay before each probe; records normally arrive within a few round trips.
 */
const ISOLATION_PROBE_INTERVAL_MS: Milliseconds = 100;

export function createGroupProbes(group: TargetGroup): GroupProbes {
  function* probeStatuses(links: readonly TargetLink[]): Task<ProbedTarget[]> {
    const probes = links.map(link => ({link, answer: link.probeStatus()}));
    const probed: ProbedTarget[] = [];
    for (const {link, answer} of probes) {
      const status = yield* waitFor(answer);
      if (status !== undefined) {
        probed.push({link, status});
      }
    }
    return probed;
  }

  function reachedLinks(): TargetLink[] {
    return group.links().filter(link => link.isReached());
  }

  function* isIsolated(leader: TargetLink | undefined): Task<boolean> {
    if (leader === undefined) {
      return false;
    }
    const status = yield* waitFor(leader.probeStatus());
    if (status?.role !== 'primary') {
      return false;
    }
    for (let probe = 0; probe < ISOLATION_PROBE_COUNT; probe++) {
      yield* sleep(ISOLATION_PROBE_INTERVAL_MS);
      const replicas = yield* probeStatuses(
        reachedLinks().filter(link => link !== leader),
      );
      const isBehind = ({status: {received}}: ProbedTarget) =>
        compareLogPositions(received, status.received) < 0;
      if (replicas.length === 0 || !replicas.every(isBehind)) {
        return false;
      }
    }
    return true;
  }

  function newestTerm(probed: readonly ProbedTarget[]): number {
    const known = group.positions.leader()?.term ?? 0;
    return Math.max(
      known,
      ...probed.map(({status}) => Math.max(status.term, status.received.term)),
    );
  }

  function highestTerm(probed: readonly ProbedTarget[]): number {
    const held = probed.map(({status}) => status.termHeld);
    return Math.max(newestTerm(probed), ...held);
  }

  return {
    reachedLinks,
    probeStatuses,
    probeReached: () => probeStatuses(reachedLinks()),
    isIsolated,
    highestTerm,
    newestTerm,
  };
}
