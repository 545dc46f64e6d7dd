/** Metrics of a load before and after an injected fault. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {LoadRequest} from './open_loop_load';

/** Metrics of one run; shares are in percent. */
export interface FaultMetrics {
  /** Total worth of the served requests that arrived before the fault. */
  readonly worthBefore: number;
  readonly worthAfter: number;
  /** `worthAfter` in percent of `worthBefore`. */
  readonly worthKept: number;
  /** Worth served after the fault in percent of the worth requested. */
  readonly servedShare: number;
  /** Longest time without a served write after the fault. */
  readonly writeGapMilliseconds: number;
  /**
   * Time from the fault until the end of the last interval of 500 ms in which
   * the served share of the requested worth was below 90 % of the share before
   * the fault; 0 if there is none.
   */
  readonly returnMilliseconds: number;
  /**
   * Share of the served reads that a replica served; every read accepts
   * staleness.
   */
  readonly replicaShare: number;
  readonly refused: number;
  readonly late: number;
  readonly lost: number;
  /** Retries per hundred requests. */
  readonly repeats: number;
}

/** Requests of a finished run and the time of its fault. */
export interface FaultRun {
  readonly requests: readonly LoadRequest[];
  readonly faultAt: Milliseconds;
  /** Length of the measured periods before and after the fault. */
  readonly span: Milliseconds;
}

const PERCENT = 100;
/**
 * Length of the intervals whose served share of worth is compared with the
 * share before the fault.
 */
const BUCKET_MS: Milliseconds = 500;
/** Lowest ratio to the share before the fault that counts as normal service. */
const NORMAL_SERVICE_RATIO = 0.9;

function percent(part: number, whole: number): number {
  return whole === 0 ? PERCENT : (PERCENT * part) / whole;
}

function sumWorth(requests: readonly LoadRequest[]): number {
  return requests.reduce((sum, {kind}) => sum + kind.worth, 0);
}

function isServed({end}: LoadRequest): boolean {
  return end === 'served';
}

function longestWriteGap(
  {faultAt, span}: FaultRun,
  after: readonly LoadRequest[],
): Milliseconds {
  const end = faultAt + span;
  const times = after
    .filter(request => isServed(request) && request.kind.method === 'write')
    .map(({endedAt}) => Math.min(endedAt, end))
    .sort((left, right) => left - right);
  let previous = faultAt;
  let longest = 0;
  for (const time of [...times, end]) {
    longest = Math.max(longest, time - previous);
    previous = time;
  }
  return longest;
}

/**
 * Returns the time from the fault to the end of the last bucket below normal
 * service; 0 if there is none.
 */
function recoveryTime(
  {faultAt, span}: FaultRun,
  after: readonly LoadRequest[],
  shareBefore: number,
): Milliseconds {
  let end = 0;
  for (let start = 0; start < span; start += BUCKET_MS) {
    const inBucket = after.filter(
      ({arrivedAt}) =>
        arrivedAt >= faultAt + start && arrivedAt < faultAt + start + BUCKET_MS,
    );
    const share = percent(
      sumWorth(inBucket.filter(isServed)),
      sumWorth(inBucket),
    );
    if (share < NORMAL_SERVICE_RATIO * shareBefore) {
      end = start + BUCKET_MS;
    }
  }
  return end;
}

/**
 * Computes the metrics from the requests that arrived within `span` before the
 * fault and within `span` after it.
 */
export function computeFaultMetrics(run: FaultRun): FaultMetrics {
  const {requests, faultAt, span} = run;
  const arrivedFrom = (from: Milliseconds) =>
    requests.filter(
      ({arrivedAt}) => arrivedAt >= from && arrivedAt < from + span,
    );
  const before = arrivedFrom(faultAt - span);
  const after = arrivedFrom(faultAt);
  const worthBefore = sumWorth(before.filter(isServed));
  const worthAfter = sumWorth(after.filter(isServed));
  const reads = after.filter(
    request => isServed(request) && request.kind.method === 'read',
  );
  const count = (end: LoadRequest['end']) =>
    after.filter(request => request.end === end).length;
  const attempts = after.reduce((sum, request) => sum + request.attempts, 0);
  return {
    worthBefore,
    worthAfter,
    worthKept: percent(worthAfter, worthBefore),
    servedShare: percent(worthAfter, sumWorth(after)),
    writeGapMilliseconds: longestWriteGap(run, after),
    returnMilliseconds: recoveryTime(
      run,
      after,
      percent(worthBefore, sumWorth(before)),
    ),
    replicaShare: percent(
      reads.filter(({role}) => role === 'replica').length,
      reads.length,
    ),
    refused: count('refused'),
    late: count('late'),
    lost: count('lost'),
    repeats: percent(attempts - after.length, after.length),
  };
}
