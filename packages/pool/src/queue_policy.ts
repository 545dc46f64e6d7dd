/** In which order requests wait for a target, and when to give them up. */
import type {Milliseconds} from '@kelpstep/runtime';

/** A request that waits, as policies see it. */
export interface QueuedWork {
  /** Relative worth of an answer in time. */
  readonly worth: number;
  /** Expected time in a slot. */
  readonly expected: Milliseconds;
  /** Monotonic time by which the answer must be there. */
  readonly deadline: Milliseconds;
  /** Rises with each arrival. */
  readonly order: number;
}

/** What a policy may go by to predict when a request starts. */
export interface QueueLoad {
  readonly now: Milliseconds;
  /** Slot time ahead of the request, of running and of waiting ones. */
  readonly workAhead: Milliseconds;
  /** Statements that run at a time. */
  readonly parallelism: number;
}

/** Order and refusal, each a function. */
export interface QueuePolicy {
  /** Negative if the left one goes first. */
  compare(left: QueuedWork, right: QueuedWork): number;
  /** A request that has not started by then is refused. */
  latestStart(work: QueuedWork): Milliseconds;
  /** A request predicted to start after its latest start is refused. */
  predictStart(load: QueueLoad): Milliseconds;
}

/**
 * Highest worth per slot time first, among requests that can still meet their
 * deadline; the others are refused as soon as that is foreseen.
 */
export const WORTH_PER_SLOT_TIME: QueuePolicy = {
  compare: (left, right) =>
    right.worth / right.expected - left.worth / left.expected ||
    left.order - right.order,
  latestStart: work => work.deadline - work.expected,
  predictStart: ({now, workAhead, parallelism}) =>
    now + workAhead / parallelism,
};

/** First come, first served, until the deadline; for comparison. */
export const FIRST_COME_FIRST_SERVED: QueuePolicy = {
  compare: (left, right) => left.order - right.order,
  latestStart: work => work.deadline,
  predictStart: ({now}) => now,
};
