/** Time-outs and intervals of the connections to targets. */
import type {Milliseconds} from '@kelpstep/runtime';

export interface ConnectionTimes {
  /** Time-out for opening a connection, and again for its first answer. */
  readonly connectTimeout: Milliseconds;
  /** Time-out for probing a connection that may be unresponsive. */
  readonly probeTimeout: Milliseconds;
  /** Idle time after which a connection beyond the equal share is closed. */
  readonly borrowedIdleTime: Milliseconds;
  /** Idle time after which a connection beyond the minimum is closed. */
  readonly idleTime: Milliseconds;
  /** Time without data received after which an idle connection is probed. */
  readonly probePeriod: Milliseconds;
}

export const DEFAULT_CONNECTION_TIMES: ConnectionTimes = {
  connectTimeout: 250,
  probeTimeout: 250,
  borrowedIdleTime: 250,
  idleTime: 30_000,
  probePeriod: 10_000,
};
