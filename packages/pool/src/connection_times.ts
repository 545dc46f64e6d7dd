/** Times of the connections to targets. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Times of connections, in milliseconds. */
export interface ConnectionTimes {
  /** Time for a new connection, and again for its first answer. */
  readonly connectTimeout: Milliseconds;
  /** Time for the answer of a connection that may have gone silent. */
  readonly probeTimeout: Milliseconds;
  /** An idle connection beyond the equal share is closed after this. */
  readonly borrowedIdleTime: Milliseconds;
  /** An idle connection beyond the minimum is closed after this. */
  readonly idleTime: Milliseconds;
  /** A connection idle for this long is tried out again. */
  readonly probePeriod: Milliseconds;
}

/** Times unless others are passed. */
export const DEFAULT_CONNECTION_TIMES: ConnectionTimes = {
  connectTimeout: 250,
  probeTimeout: 250,
  borrowedIdleTime: 250,
  idleTime: 30_000,
  probePeriod: 10_000,
};
