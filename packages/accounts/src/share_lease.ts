/**
 * Lease of a proxy's own share of all quotas to one quota coordinator. Does no
 * I/O.
 *
 * Fault pattern: the message that grants a lease is delayed for seconds, or the
 * coordinator becomes unreachable while it uses the share. Two coordinators
 * never use the share at the same time: a lease expires by the clock of its
 * coordinator, counted from a reading known to this proxy, and another lease is
 * granted only after that time has certainly passed.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** A coordinator's reading of its monotonic clock. */
export interface ClockReading {
  /** Random id of the process; clocks of two processes are not comparable. */
  readonly process: string;
  readonly time: Milliseconds;
}

/** A lease offered to a coordinator, or a request for its clock reading. */
export interface LeaseOffer {
  /** The lease counts from this reading; undefined to request a reading. */
  readonly reading: ClockReading | undefined;
}

/**
 * Lease of this proxy's share, granted to at most one coordinator at a time.
 */
export interface ShareLease {
  /**
   * Offers the lease to a coordinator, and counts it as granted if the offer
   * has a reading. Undefined while another coordinator may hold the lease.
   */
  offerTo(coordinator: string, now: Milliseconds): LeaseOffer | undefined;
  /**
   * Records a coordinator's reading; `receivedAt` is a time of this proxy's
   * clock.
   */
  recordReading(
    coordinator: string,
    reading: ClockReading,
    receivedAt: Milliseconds,
  ): void;
}

/**
 * Duration of a lease, counted from the clock reading that it was offered with.
 */
export const LEASE_DURATION_MS: Milliseconds = 1600;

interface KnownReading {
  readonly coordinator: string;
  readonly reading: ClockReading;
  readonly receivedAt: Milliseconds;
}

/** Creates a lease that is not granted to any coordinator. */
export function createShareLease(): ShareLease {
  let known: KnownReading | undefined;
  let grantedTo = '';
  let grantedUntil: Milliseconds = -Infinity;

  return {
    offerTo(coordinator, now) {
      if (coordinator !== grantedTo && now < grantedUntil) {
        return undefined;
      }
      const isKnown =
        known?.coordinator === coordinator &&
        now < known.receivedAt + LEASE_DURATION_MS;
      if (known === undefined || !isKnown) {
        return {reading: undefined};
      }
      grantedTo = coordinator;
      grantedUntil = known.receivedAt + LEASE_DURATION_MS;
      return {reading: known.reading};
    },
    recordReading(coordinator, reading, receivedAt) {
      known = {coordinator, reading, receivedAt};
    },
  };
}
