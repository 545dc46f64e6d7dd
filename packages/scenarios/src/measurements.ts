/** Measurements of a run, for the expectations of a scenario. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {Cluster} from './cluster';
import type {Operation} from './history';

/** Measurements of one run. Shares are in percent. */
export interface Measurements {
  readonly operations: number;
  /**
   * Longest time without a confirmed write in the first group, from the first
   * action to the end of the load.
   */
  readonly writeGap: Milliseconds;
  /** Number of terms with records in the first group's log, minus one. */
  readonly primaryChanges: number;
  /** Share of confirmed reads with a staleness bound that replicas served. */
  readonly replicaShare: number;
  readonly confirmedShare: number;
  /**
   * Longest time to the first answer of an unconfirmed write that started at
   * least a second after the first action and before the last one; infinite if
   * there is none.
   */
  readonly refusalTime: Milliseconds;
  /** Number of operations whose outcome was unknown before it was resolved. */
  readonly unknown: number;
}

/** A completed run. Times are monotonic milliseconds. */
export interface MeasuredRun {
  readonly cluster: Cluster;
  readonly operations: readonly Operation[];
  readonly startedAt: Milliseconds;
  readonly faultAt: Milliseconds;
  readonly lastActionAt: Milliseconds;
  readonly endedAt: Milliseconds;
}

/** Time for proxies to detect a fault; excluded from `refusalTime`. */
const DETECTION_TIME_MS: Milliseconds = 1000;

/** Computes the measurements of a completed run. */
export function measure(run: MeasuredRun): Measurements {
  const {operations, cluster} = run;
  const confirmed = operations.filter(({outcome}) => outcome === 'confirmed');
  const withMaximumAge = confirmed.filter(
    ({maximumAge}) => maximumAge !== undefined,
  );
  const byReplica = withMaximumAge.filter(
    ({servedByRole}) => servedByRole === 'replica',
  );
  const first = cluster.groups[0] ?? '';
  const newest = cluster.targets.newest(first);
  const terms = newest?.database.control.status().history.length ?? 0;
  return {
    operations: operations.length,
    writeGap: longestGap(run, first),
    primaryChanges: terms - 1,
    replicaShare: percent(byReplica.length, withMaximumAge.length),
    confirmedShare: percent(confirmed.length, operations.length),
    refusalTime: longestRefusal(run),
    unknown: operations.filter(({wasUnknown}) => wasUnknown === true).length,
  };
}

function longestRefusal(run: MeasuredRun): Milliseconds {
  const times = run.operations
    .filter(
      ({kind, invokedAt, outcome}) =>
        kind !== 'list' &&
        outcome !== 'confirmed' &&
        invokedAt >= run.faultAt + DETECTION_TIME_MS &&
        invokedAt < run.lastActionAt,
    )
    .map(({firstAnswerAt, completedAt, invokedAt}) => {
      const answeredAt = firstAnswerAt ?? completedAt ?? Infinity;
      return answeredAt - invokedAt;
    });
  return times.length === 0 ? Infinity : Math.max(...times);
}

function percent(part: number, whole: number): number {
  return whole === 0 ? 100 : (100 * part) / whole;
}

function longestGap(
  {operations, faultAt, endedAt}: MeasuredRun,
  group: string,
): Milliseconds {
  const times = operations
    .filter(
      operation =>
        operation.group === group &&
        operation.kind !== 'list' &&
        operation.confirmedAt !== undefined,
    )
    .map(({confirmedAt}) => confirmedAt ?? 0)
    .filter(time => time > faultAt && time < endedAt)
    .sort((left, right) => left - right);
  let longest = 0;
  let previous = faultAt;
  for (const time of [...times, endedAt]) {
    longest = Math.max(longest, time - previous);
    previous = time;
  }
  return longest;
}
