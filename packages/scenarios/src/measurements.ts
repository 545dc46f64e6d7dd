/** What a run shows besides whether the promises held. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {Cluster} from './cluster';
import type {Operation} from './history';

/** Figures of one run. Shares are in percent. */
export interface Measurements {
  readonly operations: number;
  /** Longest time without a confirmed write in the first group, from the first
   * action to the end of the load. */
  readonly writeGap: Milliseconds;
  /** Terms with records in the first group's log, less the first. */
  readonly primaryChanges: number;
  /** Of the answered reads with a stated age. */
  readonly replicaShare: number;
  readonly confirmedShare: number;
  /** Of writes begun from a second after the first action to the last one;
   * without a refused one, infinite. */
  readonly refusalTime: Milliseconds;
  /** Operations told that their outcome is unknown, before settling. */
  readonly unknown: number;
}

/** What is measured. */
export interface MeasuredRun {
  readonly cluster: Cluster;
  readonly operations: readonly Operation[];
  readonly startedAt: Milliseconds;
  readonly faultAt: Milliseconds;
  readonly lastActionAt: Milliseconds;
  readonly endedAt: Milliseconds;
}

/** Time to notice a loss, before refusals are looked at. */
const DETECTION_TIME: Milliseconds = 1000;

/** Takes the figures of a run that is over. */
export function measure(run: MeasuredRun): Measurements {
  const {operations, cluster} = run;
  const confirmed = operations.filter(({outcome}) => outcome === 'confirmed');
  const aged = confirmed.filter(({maximumAge}) => maximumAge !== undefined);
  const byReplica = aged.filter(({servedByRole}) => servedByRole === 'replica');
  const first = cluster.groups[0] ?? '';
  const newest = cluster.targets.newest(first);
  const terms = newest?.database.control.status().history.length ?? 0;
  return {
    operations: operations.length,
    writeGap: longestGap(run, first),
    primaryChanges: terms - 1,
    replicaShare: percent(byReplica.length, aged.length),
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
        invokedAt >= run.faultAt + DETECTION_TIME &&
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
