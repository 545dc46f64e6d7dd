/** Order of the requests queued for a target, and when they are refused. */
import type {Milliseconds} from '@kelpstep/runtime';

/** The properties of a queued request that policies use. */
export interface QueuedRequest {
  /** Relative value of an answer before the deadline. */
  readonly worth: number;
  /** Expected time for which the request occupies a slot of the target. */
  readonly expected: Milliseconds;
  /** Monotonic time by which the request must be answered. */
  readonly deadline: Milliseconds;
  /** Increases with each arrival. */
  readonly order: number;
  /** Account with a fair share; requests without one are ordered as one. */
  readonly account?: string | undefined;
}

/** Load from which a policy predicts when a request starts. */
export interface QueueLoad {
  readonly now: Milliseconds;
  /** Slot time of the running requests and of the queued ones ahead. */
  readonly slotTimeAhead: Milliseconds;
  /** Number of statements that run concurrently. */
  readonly parallelism: number;
}

/** Determines the order of the queue and which requests are refused. */
export interface QueuePolicy {
  /** Negative if `left` is served first. */
  compare(left: QueuedRequest, right: QueuedRequest): number;
  /**
   * Monotonic time by which a request must have started; otherwise it is
   * refused.
   */
  latestStart(request: QueuedRequest): Milliseconds;
  /**
   * Monotonic time at which a request is predicted to start. It is refused if
   * that is after its latest start.
   */
  predictStart(load: QueueLoad): Milliseconds;
}

/**
 * Serves the highest value per slot time first. A request that is predicted to
 * miss its deadline is refused at once.
 */
export const VALUE_PER_SLOT_TIME: QueuePolicy = {
  compare: (left, right) =>
    right.worth / right.expected - left.worth / left.expected ||
    left.order - right.order,
  latestStart: request => request.deadline - request.expected,
  predictStart: ({now, slotTimeAhead, parallelism}) =>
    now + slotTimeAhead / parallelism,
};

/**
 * Serves requests in the order of arrival and refuses them only after their
 * deadline; used for comparison.
 */
export const FIRST_COME_FIRST_SERVED: QueuePolicy = {
  compare: (left, right) => left.order - right.order,
  latestStart: request => request.deadline,
  predictStart: ({now}) => now,
};
