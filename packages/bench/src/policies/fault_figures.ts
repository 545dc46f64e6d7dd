/** Figures of a load with a fault in its middle. */
import type {Milliseconds} from '@kelpstep/runtime';

import type {LoadRequest} from './open_load';

/** Figures of one run; shares in percent. */
export interface FaultFigures {
  /** Worth served of what arrived in the time before the fault. */
  readonly worthBefore: number;
  readonly worthAfter: number;
  /** Worth after in percent of the worth before. */
  readonly worthKept: number;
  /** Worth served of the worth that was asked for, after the fault. */
  readonly servedShare: number;
  /** Longest time without a served write after the fault. */
  readonly writeGapMilliseconds: number;
  /** From the fault until service stays normal. */
  readonly returnMilliseconds: number;
  /** Of the served reads, all of which state an age. */
  readonly replicaShare: number;
  readonly refused: number;
  readonly late: number;
  readonly lost: number;
  /** Attempts after the first, per hundred requests. */
  readonly repeats: number;
}

/** What figures are taken from. */
export interface FaultRun {
  readonly requests: readonly LoadRequest[];
  readonly faultAt: Milliseconds;
  /** Time before and after the fault that counts. */
  readonly span: Milliseconds;
}

const PERCENT = 100;
/** Service is judged for each so much time. */
const BUCKET: Milliseconds = 500;
/** Normal is at least this share of what was served before. */
const NORMAL = 0.9;

function percent(part: number, whole: number): number {
  return whole === 0 ? PERCENT : (PERCENT * part) / whole;
}

function worthOf(requests: readonly LoadRequest[]): number {
  return requests.reduce((sum, {kind}) => sum + kind.worth, 0);
}

function isServed({end}: LoadRequest): boolean {
  return end === 'served';
}

function longestGap(
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

/** The end of the last time in which less than normal was served. */
function returnTime(
  {faultAt, span}: FaultRun,
  after: readonly LoadRequest[],
  shareBefore: number,
): Milliseconds {
  let end = 0;
  for (let start = 0; start < span; start += BUCKET) {
    const inBucket = after.filter(
      ({arrivedAt}) =>
        arrivedAt >= faultAt + start && arrivedAt < faultAt + start + BUCKET,
    );
    const share = percent(
      worthOf(inBucket.filter(isServed)),
      worthOf(inBucket),
    );
    if (share < NORMAL * shareBefore) {
      end = start + BUCKET;
    }
  }
  return end;
}

/** Takes the figures of a run that is over. */
export function takeFigures(run: FaultRun): FaultFigures {
  const {requests, faultAt, span} = run;
  const within = (from: Milliseconds) =>
    requests.filter(
      ({arrivedAt}) => arrivedAt >= from && arrivedAt < from + span,
    );
  const before = within(faultAt - span);
  const after = within(faultAt);
  const worthBefore = worthOf(before.filter(isServed));
  const worthAfter = worthOf(after.filter(isServed));
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
    servedShare: percent(worthAfter, worthOf(after)),
    writeGapMilliseconds: longestGap(run, after),
    returnMilliseconds: returnTime(
      run,
      after,
      percent(worthBefore, worthOf(before)),
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
