/** Limits the connections to a target that this proxy may open. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Input for computing a share. */
export interface ShareInput {
  /**
   * Number of connections that the target accepts from all proxies in total.
   */
  readonly connectionLimit: number;
  /** Number of live proxies, including this one. */
  readonly liveProxies: number;
}

/** Computes the number of connections that a proxy may open; at least 1. */
export type ShareRule = (input: ShareInput) => number;

/** Connections for the failure detectors' probes and the target's own group. */
const PROBE_RESERVE = 2;

/**
 * Connections reserved for control: a log position stream per proxy, and
 * probes; at most half of the connection limit.
 */
export function controlReserve({
  connectionLimit,
  liveProxies,
}: ShareInput): number {
  const wanted = liveProxies + PROBE_RESERVE;
  return Math.min(wanted, Math.floor(connectionLimit / 2));
}

/** Gives each proxy an equal part of the connections that are not reserved. */
export const equalShare: ShareRule = input => {
  const usable = input.connectionLimit - controlReserve(input);
  return Math.max(1, Math.floor(usable / Math.max(1, input.liveProxies)));
};

/**
 * Allows up to twice the equal share, using connections that other proxies
 * leave unused. Connections beyond the equal share are closed soon after they
 * become idle, and a refusal by the target lowers the share to the open
 * connections.
 */
export const borrowingShare: ShareRule = input => {
  const usable = Math.max(1, input.connectionLimit - controlReserve(input));
  return Math.min(usable, 2 * equalShare(input));
};

/** A share that is lowered when the target refuses connections. */
export interface ConnectionShare {
  /** Number of connections that may be open now. */
  current(): number;
  /** The equal share. Idle connections beyond it are closed early. */
  equal(): number;
  /** Records that the target refused a connection while so many were open. */
  refused(openConnections: number): void;
  /** Updates the connection limit and the number of proxies. */
  update(input: ShareInput): void;
}

/** Interval after which a lowered share is raised by 1. */
export const SHARE_RECOVERY_INTERVAL_MS: Milliseconds = 2_000;

/** Creates a share that no refusal has lowered. */
export function createConnectionShare(
  timer: TimerService,
  rule: ShareRule,
  firstInput: ShareInput,
): ConnectionShare {
  let input = firstInput;
  let cap = Infinity;
  let raiseAt = Infinity;

  function raiseCap(): void {
    if (cap === Infinity) {
      return;
    }
    const now = timer.now();
    while (now >= raiseAt) {
      cap += 1;
      raiseAt += SHARE_RECOVERY_INTERVAL_MS;
    }
    if (cap >= rule(input)) {
      cap = Infinity;
      raiseAt = Infinity;
    }
  }

  return {
    current() {
      raiseCap();
      return Math.max(1, Math.min(cap, rule(input)));
    },
    equal: () => equalShare(input),
    refused(openConnections) {
      cap = Math.max(1, openConnections);
      raiseAt = timer.now() + SHARE_RECOVERY_INTERVAL_MS;
    },
    update(newInput) {
      input = newInput;
    },
  };
}
