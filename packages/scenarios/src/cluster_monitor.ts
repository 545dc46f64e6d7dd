/** Checks invariants of a running cluster that its callers cannot observe. */
import {LogPosition, TargetStatus} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

import type {Cluster} from './cluster';
import {checkCommits, highestAccepted} from './commit_checks';
import type {Operation} from './history';
import type {Violation} from './invariants';

/** Monitors a cluster until the run ends. */
export interface ClusterMonitor {
  /** Records the time of an action on the cluster. */
  noteAction(): void;
  /** Records that the platform's list marks a target as leaving. */
  noteLeaving(targetId: string): void;
  /** Stops monitoring, runs the final checks and returns all violations. */
  findings(operations: readonly Operation[]): Violation[];
}

const POLL_PERIOD_MS: Milliseconds = 10;
/** A leaving target must get no statements this long after the last action. */
const LEAVING_GRACE_MS: Milliseconds = 2_500;

/** A term fenced by a majority, and the log position the majority held. */
interface Fencing {
  readonly term: number;
  readonly fencedAt: Milliseconds;
  /** Highest log position of the term that a majority held. */
  readonly heldPosition: number;
  /** Time at which a majority first held a record of a higher term. */
  replacedAt: Milliseconds;
}

/** Starts monitoring a cluster. */
export function createClusterMonitor(cluster: Cluster): ClusterMonitor {
  const {timer, targets, proxies, groups} = cluster;
  const versions = new Map<unknown, number>();
  const fencings = new Map<string, Map<number, Fencing>>();
  const leaving = new Set<string>();
  const executionBaselines = new Map<string, number>();
  const violations: Violation[] = [];
  let lastActionAt = timer.now();

  function report(invariant: Violation['invariant'], message: string): void {
    violations.push({invariant, operation: undefined, message});
  }

  function checkVersions(): void {
    for (const {name, proxy} of proxies.running()) {
      const version = proxy.manifestVersion();
      const before = versions.get(proxy) ?? 0;
      if (version < before) {
        report('manifest-reverted', `${name}: ${before} to ${version}`);
      }
      versions.set(proxy, version);
    }
  }

  function recordTerms(group: string): void {
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

  /** True if the platform's list or an accepted manifest has it as leaving. */
  function isLeaving(id: string): boolean {
    const isInManifest = cluster.commits.some(
      commit => commit.result?.ok === true && commit.leaving.has(id),
    );
    return isInManifest || leaving.has(id);
  }

  function checkLeavingTargets(): void {
    if (timer.now() < lastActionAt + LEAVING_GRACE_MS) {
      return;
    }
    for (const {id, database} of targets.targets) {
      const {executions} = database.control.statistics();
      const before = executionBaselines.get(id) ?? executions;
      executionBaselines.set(id, before);
      if (executions > before && isLeaving(id)) {
        executionBaselines.set(id, executions);
        report(
          'leaving-unused',
          `${id} executed statements at ${timer.now()} ms`,
        );
      }
    }
  }

  function checkInForce(): void {
    const accepted = highestAccepted(cluster.commits);
    const inForce = proxies.running().map(({proxy}) => proxy.manifestVersion());
    const newest = Math.max(accepted, ...inForce);
    if (inForce.some(version => version !== newest)) {
      report(
        'manifest-in-force',
        `newest version is ${newest}, proxies have ${inForce.join()}`,
      );
    }
  }

  /** No write may be confirmed in a term after a majority fenced the term. */
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
          confirmedAt < fencing.replacedAt - POLL_PERIOD_MS;
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

  const cancel = timer.every(POLL_PERIOD_MS, () => {
    checkVersions();
    groups.forEach(recordTerms);
    checkLeavingTargets();
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

/** Of three members, a majority holds the second highest position. */
function fencingOf(
  term: number,
  statuses: readonly TargetStatus[],
  fencedAt: Milliseconds,
): Fencing {
  const held = statuses.map(status => lastPositionOf(status, term));
  const [, heldPosition = 0] = descending(held);
  return {term, fencedAt, heldPosition, replacedAt: Infinity};
}

/** Position of the last record of a term in a log; 0 if there is none. */
function lastPositionOf({history, end}: TargetStatus, term: number): number {
  const index = history.findIndex(start => start.term === term);
  if (index < 0) {
    return 0;
  }
  const next = history[index + 1];
  return next === undefined ? end.position : next.firstPosition - 1;
}
