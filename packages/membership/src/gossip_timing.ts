/** Timing of state exchanges, depending on the number of proxies. */
import type {Milliseconds} from '@kelpstep/runtime';

/** Timing of a small cluster. */
export interface BaseGossipTiming {
  /** Interval between two heartbeats to the same peers. */
  readonly interval: Milliseconds;
  /** Longest wait for a peer's answer. */
  readonly exchangeTimeout: Milliseconds;
  /** Time in which a suspicion may be refuted. */
  readonly suspicionTime: Milliseconds;
}

/** Timing for a given number of proxies. */
export interface GossipTiming extends BaseGossipTiming {
  /** Heartbeats between two exchanges with a random peer. */
  readonly heartbeatsPerRandomPeer: number;
  /** Random peers per burst of updates, besides the successor on the ring. */
  readonly randomPeersPerBurst: number;
  /** Minimum time between two bursts. */
  readonly minimumBurstInterval: Milliseconds;
}

/**
 * Computes the timing from the number of proxies. The membership receives it as
 * an option, so that it can be replaced.
 */
export type GossipTimingPolicy = (
  proxies: number,
  base: BaseGossipTiming,
) => GossipTiming;

/** Largest number of proxies at which the base interval is kept. */
const SMALL_CLUSTER_SIZE = 32;
/** Upper bound of the interval relative to the base interval. */
const MAXIMUM_SLOWDOWN_RATIO = 15;
const MAXIMUM_SUSPICION_TIME_RATIO = 5;
const BURSTS_PER_INTERVAL = 4;

/**
 * Lengthens the interval in proportion to the number of proxies, so that the
 * cost per proxy falls to its minimum in large clusters; see docs/decisions.
 */
export function proportionalTiming(
  proxies: number,
  base: BaseGossipTiming,
): GossipTiming {
  const slowdown = Math.min(
    MAXIMUM_SLOWDOWN_RATIO,
    Math.max(1, proxies / SMALL_CLUSTER_SIZE),
  );
  const interval = base.interval * slowdown;
  const isSmall = slowdown === 1;
  return {
    interval,
    exchangeTimeout: base.exchangeTimeout,
    suspicionTime:
      base.suspicionTime * Math.min(slowdown, MAXIMUM_SUSPICION_TIME_RATIO),
    heartbeatsPerRandomPeer: isSmall ? 1 : 5,
    randomPeersPerBurst: isSmall ? 2 : 1,
    minimumBurstInterval: interval / BURSTS_PER_INTERVAL,
  };
}
