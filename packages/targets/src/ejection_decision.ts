/**
 * Decides whether a target fails far more often, or is far slower, than the
 * other targets of its group. Does no input or output.
 *
 * Load: reads that several targets could serve, while one of these leaves
 * statements unanswered, fails some of them, or is several times slower.
 */
import type {Milliseconds} from '@kelpstep/runtime';

import type {AttemptSample} from './attempt_samples';

/** Why a target is ejected; the prevalent kind of its failures. */
export type EjectionReason = 'unanswered' | 'failing' | 'slow';

/** Attempts at a target and at the group's other targets, newest last. */
export interface ComparedAttempts {
  readonly own: readonly AttemptSample[];
  readonly others: readonly AttemptSample[];
  /** Time at which the newest answered attempt of the target was sent. */
  readonly lastAnsweredSentAt: Milliseconds;
}

/** Number of a target's newest attempts that are considered. */
const OWN_COUNT = 10;
/**
 * Failures needed while the target answers other statements. A tenth of lost
 * answers, which retries hide from callers, rarely gives four in ten.
 */
const MINIMUM_FAILURES = 4;
/**
 * Failures needed if nothing sent since was answered: a connection owner with
 * few connections can't send more until the statements time out.
 */
const MINIMUM_FAILURES_WITHOUT_ANSWER = 2;
const MINIMUM_FAILURE_RATE = 0.4;
/** Attempts at other targets needed for a comparison. */
const MINIMUM_OTHER_COUNT = 6;
/** Failure rate of the others relative to the target's, at most. */
const MAXIMUM_OTHER_RATE_RATIO = 0.25;
/** Number of a target's newest answers that are compared by duration. */
const DURATION_COUNT = 5;
/** One of the answers may be as fast as the others'. */
const MINIMUM_SLOW_COUNT = 4;
/** Durations of a kind needed for a comparison. */
const MINIMUM_KIND_COUNT = 3;
/** An answer is slow if it takes this many times as long as the others'. */
const SLOW_FACTOR = 4;
/** Excess that is never slow: the ratio of short times is mostly noise. */
const SLOW_EXCESS_MS: Milliseconds = 50;

function isFailure({state}: AttemptSample): boolean {
  return state === 'unanswered' || state === 'failing';
}

function sentSince(
  samples: readonly AttemptSample[],
  time: Milliseconds,
): AttemptSample[] {
  return samples.filter(({sentAt}) => sentAt >= time);
}

/** Median time of the answers of a kind; undefined if there are too few. */
export function typicalDuration(
  samples: readonly AttemptSample[],
  kind: string,
): Milliseconds | undefined {
  const durations = samples
    .filter(sample => sample.kind === kind && sample.state === 'answered')
    .map(({duration}) => duration)
    .sort((left, right) => left - right);
  return durations.length < MINIMUM_KIND_COUNT
    ? undefined
    : durations[durations.length >> 1];
}

/** Time from which an answer counts as slow. */
export function slowFrom(typical: Milliseconds): Milliseconds {
  return Math.max(SLOW_FACTOR * typical, typical + SLOW_EXCESS_MS);
}

function failureReason({
  own,
  others,
  lastAnsweredSentAt,
}: ComparedAttempts): EjectionReason | undefined {
  const newest = own.slice(-OWN_COUNT);
  const first = newest.findIndex(isFailure);
  const since = newest[first]?.sentAt ?? Infinity;
  const failures = newest.filter(isFailure);
  const rate = failures.length / Math.max(1, newest.length - first);
  const minimum =
    lastAnsweredSentAt < since
      ? MINIMUM_FAILURES_WITHOUT_ANSWER
      : MINIMUM_FAILURES;
  if (failures.length < minimum || rate < MINIMUM_FAILURE_RATE) {
    return undefined;
  }
  // Attempts from the same time, so that a failure of this proxy or its link
  // shows in both.
  const compared = sentSince(others, since);
  const otherFailures = compared.filter(isFailure).length;
  const isOutlier =
    compared.length >= MINIMUM_OTHER_COUNT &&
    otherFailures / compared.length <= rate * MAXIMUM_OTHER_RATE_RATIO;
  if (!isOutlier) {
    return undefined;
  }
  const unanswered = failures.filter(({state}) => state === 'unanswered');
  return unanswered.length * 2 > failures.length ? 'unanswered' : 'failing';
}

function isSlow({own, others}: ComparedAttempts): boolean {
  const newest = own
    .filter(({state}) => state === 'answered')
    .slice(-DURATION_COUNT);
  const compared = sentSince(others, newest[0]?.sentAt ?? Infinity);
  const slow = newest.filter(({kind, duration}) => {
    const typical = typicalDuration(compared, kind);
    return typical !== undefined && duration > slowFrom(typical);
  });
  return slow.length >= MINIMUM_SLOW_COUNT;
}

/** The reason to eject a target; undefined if it is not an outlier. */
export function findEjectionReason(
  attempts: ComparedAttempts,
): EjectionReason | undefined {
  return failureReason(attempts) ?? (isSlow(attempts) ? 'slow' : undefined);
}
