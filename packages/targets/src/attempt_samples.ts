/**
 * Outcomes of the recent attempts at one target, in the order in which they
 * were sent. Does no input or output.
 *
 * Load: a target answers some statements at once and leaves others unanswered.
 * Successes are then known much earlier than failures, so attempts are compared
 * only once both would be known.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** `ignored`: ended in a way that tells nothing about the target. */
export type SampleState =
  'pending' | 'answered' | 'unanswered' | 'failing' | 'ignored';

/** One attempt that was sent to a target. */
export interface AttemptSample {
  /** Statistics key of statements that take about the same time. */
  readonly kind: string;
  /** Monotonic time. */
  readonly sentAt: Milliseconds;
  readonly state: SampleState;
  /** Time until the state was set, or until now while `pending`. */
  readonly duration: Milliseconds;
}

/** Attempts at one target. */
export interface AttemptSamples {
  /** Adds an attempt that is sent now; the function sets its state. */
  add(
    kind: string,
    now: Milliseconds,
  ): (state: SampleState, now: Milliseconds) => void;
  /** Attempts that are old enough to be compared; newest last. */
  comparable(now: Milliseconds): readonly AttemptSample[];
  /** Time at which the newest of the answered attempts was sent. */
  lastAnsweredSentAt(): Milliseconds;
  /** Removes attempts that are no longer needed. */
  prune(now: Milliseconds): void;
}

/**
 * Age from which attempts are compared. It is the minimum hedge delay, after
 * which an unanswered attempt counts as a failure.
 */
export const COMPARABLE_AGE_MS: Milliseconds = 280;
/** Time for which attempts are compared; earlier ones tell about the past. */
const COMPARABLE_TIME_MS: Milliseconds = 2000;
/** Maximum number of attempts that are compared. */
const COMPARABLE_COUNT = 32;

interface MutableSample extends AttemptSample {
  state: SampleState;
  duration: Milliseconds;
}

/** Creates an empty list of attempts. */
export function createAttemptSamples(): AttemptSamples {
  let samples: MutableSample[] = [];
  let lastAnsweredSentAt = -Infinity;

  function comparable(now: Milliseconds): AttemptSample[] {
    const newest = now - COMPARABLE_AGE_MS;
    const end = samples.findLastIndex(({sentAt}) => sentAt <= newest) + 1;
    const oldest = newest - COMPARABLE_TIME_MS;
    return samples
      .slice(0, end)
      .filter(({state, sentAt}) => sentAt >= oldest && state !== 'ignored')
      .slice(-COMPARABLE_COUNT)
      .map(sample =>
        sample.state === 'pending'
          ? {...sample, duration: now - sample.sentAt}
          : sample,
      );
  }

  return {
    add(kind, sentAt) {
      const sample: MutableSample = {
        kind,
        sentAt,
        state: 'pending',
        duration: 0,
      };
      samples.push(sample);
      return (state, now) => {
        sample.state = state;
        sample.duration = now - sentAt;
        if (state === 'answered') {
          lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sentAt);
        }
      };
    },
    comparable,
    lastAnsweredSentAt: () => lastAnsweredSentAt,
    prune(now) {
      const first = comparable(now)[0]?.sentAt ?? now - COMPARABLE_TIME_MS;
      samples = samples.filter(({sentAt}) => sentAt >= first);
    },
  };
}
