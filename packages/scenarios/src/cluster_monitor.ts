/** Watches a running cluster for what its callers cannot see. */
import {LogPosition, TargetStatus} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Cluster} from './cluster';
import {checkCommits, highestAccepted} from './commit_checks';
import type {Operation} from './history';
import type {Violation} from './invariants';

/** Watches until the run ends. */
export interface ClusterMonitor {
  /** Notes that something was done to the cluster. */
  noteAction(): void;
  /** Notes that the platform's list calls a target leaving. */
  noteLeaving(targetId: string): void;
  /** What was broken, once the run is over. */
  findings(operations: readonly Operation[]): Violation[];
}

const PERIOD: Milliseconds = 10;
/** A leaving target gets no new work this long after the last action. */
const LEAVING_LIMIT: Milliseconds = 2_500;

/** When a term was fenced at a majority, and what a majority held then. */
interface Fencing {
  readonly term: number;
  readonly fencedAt: Milliseconds;
  /** Highest position of the term that a majority held. */
  readonly heldPosition: number;
  /** When a majority first held a record of a higher term. */
  replacedAt: Milliseconds;
}

/** Starts watching. */
export function createClusterMonitor(cluster: Cluster): ClusterMonitor {
  const {timer, targets, proxies, groups} = cluster;
  const versions = new Map<unknown, number>();
  const fencings = new Map<string, Map<number, Fencing>>();
  const leaving = new Set<string>();
  const restingExecutions = new Map<string, number>();
  const violations: Violation[] = [];
  let lastActionAt = timer.now();

  function report(invariant: Violation['invariant'], message: string): void {
    violations.push({invariant, operation: undefined, message});
  }

  function watchVersions(): void {
    for (const {name, proxy} of proxies.running()) {
      const version = proxy.manifestVersion();
      const before = versions.get(proxy) ?? 0;
      if (version < before) {
        report('manifest-reverted', `${name}: ${before} to ${version}`);
      }
      versions.set(proxy, version);
    }
  }

  function watchTerms(group: string): void {
    const statuses = targets.targets
      .filter(target => target.group === group)
      .map(({database}) => database.control.status());
    const terms = new Set(
      statuses.flatMap(({history}) => history.map(({term}) => term)),
    );
    const known = fencings.get(group) ?? new Map<number, Fencing>();
    fencings.set(group, known);
    const [, fenced = 0] = descending(statuses.map(({term}) => term));
    const [, replaced = 0] = descending(statuses.map(({end}) => end.term));
    for (const term of terms) {
      if (term < fenced && !known.has(term)) {
        known.set(term, fencingOf(term, statuses, timer.now()));
      }
    }
    for (const fencing of known.values()) {
      if (fencing.term < replaced) {
        fencing.replacedAt = Math.min(fencing.replacedAt, timer.now());
      }
    }
  }

  /** A commit that was refused makes nobody leave. */
  function isLeaving(id: string): boolean {
    const isCalledSo = cluster.commits.some(
      commit => commit.result?.ok === true && commit.leaving.has(id),
    );
    return isCalledSo || leaving.has(id);
  }

  function watchLeaving(): void {
    if (timer.now() < lastActionAt + LEAVING_LIMIT) {
      return;
    }
    for (const {id, database} of targets.targets) {
      const {executions} = database.control.statistics();
      const before = restingExecutions.get(id) ?? executions;
      restingExecutions.set(id, before);
      if (executions > before && isLeaving(id)) {
        restingExecutions.set(id, executions);
        report('leaving-unused', `${id} got work at ${timer.now()} ms`);
      }
    }
  }

  function checkInForce(): void {
    const accepted = highestAccepted(cluster.commits);
    const inForce = proxies.running().map(({proxy}) => proxy.manifestVersion());
    const newest = Math.max(accepted, ...inForce);
    if (inForce.some(version => version !== newest)) {
      report('manifest-in-force', `${newest}, but proxies: ${inForce.join()}`);
    }
  }

  /** Nothing may be confirmed in a term after a majority refused the term. */
  function checkFenced(operations: readonly Operation[]): void {
    for (const group of groups) {
      const positions = recordPositions(group);
      for (const {id, key, confirmedAt} of operations) {
        const at = key && positions.get(key.id);
        const fencing = at && fencings.get(group)?.get(at.term);
        const isLate =
          fencing !== undefined &&
          at !== undefined &&
          confirmedAt !== undefined &&
          at.position > fencing.heldPosition &&
          confirmedAt > fencing.fencedAt &&
          confirmedAt < fencing.replacedAt - PERIOD;
        if (isLate) {
          violations.push({
            invariant: 'fenced-term',
            operation: id,
            message: `confirmed in term ${at.term} after a majority was fenced`,
          });
        }
      }
    }
  }

  function recordPositions(group: string): Map<string, LogPosition> {
    const positions = new Map<string, LogPosition>();
    const log = targets.newest(group)?.database.control.records() ?? [];
    for (const {at, key} of log) {
      if (key !== undefined) {
        positions.set(key.id, at);
      }
    }
    return positions;
  }

  const cancel = timer.every(PERIOD, () => {
    watchVersions();
    groups.forEach(watchTerms);
    watchLeaving();
  });

  return {
    noteAction() {
      lastActionAt = timer.now();
    },
    noteLeaving: targetId => leaving.add(targetId),
    findings(operations) {
      cancel();
      checkInForce();
      checkFenced(operations);
      return [...violations, ...checkCommits(cluster.commits)];
    },
  };
}

function descending(numbers: readonly number[]): number[] {
  return [...numbers].sort((left, right) => right - left);
}

/** Groups have three members, so the second best is what a majority has. */
function fencingOf(
  term: number,
  statuses: readonly TargetStatus[],
  fencedAt: Milliseconds,
): Fencing {
  const held = statuses.map(status => lastPositionOf(status, term));
  const [, heldPosition = 0] = descending(held);
  return {term, fencedAt, heldPosition, replacedAt: Infinity};
}

/** The last position of a term's records in a log; 0 if it has none. */
function lastPositionOf({history, end}: TargetStatus, term: number): number {
  const index = history.findIndex(start => start.term === term);
  if (index < 0) {
    return 0;
  }
  const next = history[index + 1];
  return next === undefined ? end.position : next.firstPosition - 1;
}
