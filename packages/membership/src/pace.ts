/** How often a proxy exchanges state, by the number of proxies. */
import type {Milliseconds} from '@kelpstep/runtime';

/** The base of the pace: what holds for few proxies. */
export interface PaceBase {
  /** Between two heartbeats to the same peers. */
  readonly interval: Milliseconds;
  /** Longest wait for a peer's answer. */
  readonly exchangeTimeout: Milliseconds;
  /** Time in which a suspicion may be refuted. */
  readonly suspicionTime: Milliseconds;
}

/** The pace for a number of proxies. */
export interface Pace extends PaceBase {
  /** Heartbeats between two exchanges with a random peer. */
  readonly ticksPerRandomPartner: number;
  /** Random peers that news is sent to at once, beside the next of the ring. */
  readonly eagerRandomPartners: number;
  /** Shortest time between two such bursts. */
  readonly eagerGap: Milliseconds;
}

/** Decides the pace; passed in, so that it can be varied. */
export type PacePolicy = (proxies: number, base: PaceBase) => Pace;

/** Up to this many proxies the base interval is kept. */
const SMALL_CLUSTER = 32;
/** Larger ones slow down at most by this factor. */
const LARGEST_SLOWDOWN = 15;
const LARGEST_SUSPICION_FACTOR = 5;
const EAGER_GAPS_PER_INTERVAL = 4;

/**
 * Slows down in proportion to the proxies, so that the cost per proxy falls to
 * its floor where many proxies share it; see docs/decisions.
 */
export function proportionalPace(proxies: number, base: PaceBase): Pace {
  const slowdown = Math.min(
    LARGEST_SLOWDOWN,
    Math.max(1, proxies / SMALL_CLUSTER),
  );
  const interval = base.interval * slowdown;
  const isSmall = slowdown === 1;
  return {
    interval,
    exchangeTimeout: base.exchangeTimeout,
    suspicionTime:
      base.suspicionTime * Math.min(slowdown, LARGEST_SUSPICION_FACTOR),
    ticksPerRandomPartner: isSmall ? 1 : 5,
    eagerRandomPartners: isSmall ? 2 : 1,
    eagerGap: interval / EAGER_GAPS_PER_INTERVAL,
  };
}
