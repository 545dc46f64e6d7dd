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
const OWN_COUNT = 20;
/**
 * Probability below which a difference does not count as chance. With 1 in 100
 * a group of which all targets failed a tenth lost one every few seconds.
 */
const MAXIMUM_CHANCE = 1e-5;
/**
 * Time after a target's newest attempt up to which others are compared, at
 * least: a target without answers soon gets no attempts.
 */
const MINIMUM_SPAN_MS: Milliseconds = 50;
/** Failure rate relative to that of the other targets, at least. */
const MINIMUM_RATE_RATIO = 4;
/**
 * Failures needed if nothing sent since was answered: a connection owner with
 * few connections can't send more until the statements time out.
 */
const MINIMUM_FAILURES_WITHOUT_ANSWER = 2;
/** Answers of other targets needed in that case. */
const MINIMUM_ANSWERS_OF_OTHERS = 12;
/** Number of a target's newest answers that are compared by duration. */
const DURATION_COUNT = 5;
/** Durations of a kind needed for a comparison. */
const MINIMUM_KIND_COUNT = 3;
/** An answer is slow if it takes this many times as long as the others'. */
const SLOW_FACTOR = 4;
/** Excess that is never slow: the ratio of short times is mostly noise. */
const SLOW_EXCESS_MS: Milliseconds = 50;

function isFailure({state}: AttemptSample): boolean {
  return state === 'unanswered' || state === 'failing';
}

function sentBetween(
  samples: readonly AttemptSample[],
  from: Milliseconds,
  until: Milliseconds,
): AttemptSample[] {
  return samples.filter(({sentAt}) => sentAt >= from && sentAt <= until);
}

/**
 * Median time of the answers of a kind, with the time so far of those that are
 * pending; undefined if there are too few.
 */
export function typicalDuration(
  samples: readonly AttemptSample[],
  kind: string,
): Milliseconds | undefined {
  const durations = samples
    .filter(sample => sample.kind === kind && !isFailure(sample))
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

interface FailureCount {
  readonly failed: number;
  readonly total: number;
}

/** Number of ways to choose `count` of `total`. */
function binomial(total: number, count: number): number {
  let ways = count > total ? 0 : 1;
  for (let index = 1; index <= count; index++) {
    ways = (ways * (total - count + index)) / index;
  }
  return ways;
}

/**
 * Probability that at least `own.failed` failures are at the target by chance,
 * if all targets fail equally often (Fisher's exact test).
 */
function chanceOf(own: FailureCount, others: FailureCount): number {
  const failed = own.failed + others.failed;
  const ways = binomial(own.total + others.total, failed);
  let chance = 0;
  for (let n = own.failed; n <= Math.min(own.total, failed); n++) {
    chance +=
      (binomial(own.total, n) * binomial(others.total, failed - n)) / ways;
  }
  return chance;
}

function isOutlier(own: FailureCount, others: FailureCount): boolean {
  const ownRate = own.failed / Math.max(1, own.total);
  const otherRate = others.failed / Math.max(1, others.total);
  return (
    own.failed > 0 &&
    ownRate >= MINIMUM_RATE_RATIO * otherRate &&
    chanceOf(own, others) < MAXIMUM_CHANCE
  );
}

/**
 * Counts failures of other targets. An answer that took more than half as long
 * as the target's attempts remained unanswered counts as one: all targets, or
 * this proxy, are slow then.
 */
function countOthers(
  others: readonly AttemptSample[],
  failures: readonly AttemptSample[],
): FailureCount {
  const unanswered = failures.filter(({state}) => state === 'unanswered');
  const kinds = new Set(unanswered.map(({kind}) => kind));
  const limit = Math.min(...unanswered.map(({duration}) => duration)) / 2;
  const failed = others.filter(
    sample =>
      isFailure(sample) || (kinds.has(sample.kind) && sample.duration > limit),
  );
  const answered = others.filter(({state}) => state === 'answered');
  return {
    failed: failed.length,
    total: new Set([...failed, ...answered]).size,
  };
}

function failureReason({
  own,
  others,
  lastAnsweredSentAt,
}: ComparedAttempts): EjectionReason | undefined {
  const newest = own.filter(({state}) => state !== 'pending').slice(-OWN_COUNT);
  const first = newest.findIndex(isFailure);
  const since = newest[first]?.sentAt ?? Infinity;
  const failures = newest.filter(isFailure);
  // Attempts from about the same time, so that a failure of this proxy or its
  // link shows in both. The first failure only starts the count.
  const last = newest.at(-1)?.sentAt ?? -Infinity;
  const until = last + Math.max(MINIMUM_SPAN_MS, last - since);
  const compared = countOthers(sentBetween(others, since, until), failures);
  const later = countOthers(sentBetween(others, since, Infinity), failures);
  const ownCount = {
    failed: failures.length - 1,
    total: newest.length - first - 1,
  };
  const isSilent =
    failures.length >= MINIMUM_FAILURES_WITHOUT_ANSWER &&
    lastAnsweredSentAt < since &&
    later.failed === 0 &&
    later.total >= MINIMUM_ANSWERS_OF_OTHERS;
  if (!isSilent && !isOutlier(ownCount, compared)) {
    return undefined;
  }
  const unanswered = failures.filter(({state}) => state === 'unanswered');
  return unanswered.length * 2 > failures.length ? 'unanswered' : 'failing';
}

function isSlow({own, others}: ComparedAttempts): boolean {
  const newest = own
    .filter(({state}) => state === 'answered')
    .slice(-DURATION_COUNT);
  const compared = sentBetween(
    others,
    newest[0]?.sentAt ?? Infinity,
    newest.at(-1)?.sentAt ?? -Infinity,
  );
  const slow = newest.filter(({kind, duration}) => {
    const typical = typicalDuration(compared, kind);
    return typical !== undefined && duration > slowFrom(typical);
  });
  return slow.length === DURATION_COUNT;
}

/** The reason to eject a target; undefined if it is not an outlier. */
export function findEjectionReason(
  attempts: ComparedAttempts,
): EjectionReason | undefined {
  return failureReason(attempts) ?? (isSlow(attempts) ? 'slow' : undefined);
}
