/** How many connections to a target this proxy may open. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** What a share is computed from. */
export interface ShareInput {
  /** Connections that the target accepts from all proxies together. */
  readonly connectionLimit: number;
  /** Live proxies, this one included. */
  readonly liveProxies: number;
}

/** Computes a share; at least 1. */
export type ShareRule = (input: ShareInput) => number;

/** Connections for watchers' probes and the target's own group. */
const PROBE_RESERVE = 2;

/**
 * Connections that stay free for control: a position stream per proxy, and
 * probes; never more than half.
 */
export function controlReserve({
  connectionLimit,
  liveProxies,
}: ShareInput): number {
  const wanted = liveProxies + PROBE_RESERVE;
  return Math.min(wanted, Math.floor(connectionLimit / 2));
}

/** What is left after the reserve, in equal parts. */
export const equalShare: ShareRule = input => {
  const usable = input.connectionLimit - controlReserve(input);
  return Math.max(1, Math.floor(usable / Math.max(1, input.liveProxies)));
};

/**
 * Up to twice the equal share, on loan from proxies that don't use theirs.
 * What is borrowed is given back as soon as it is idle, and a refusal by the
 * target ends the loan.
 */
export const borrowingShare: ShareRule = input => {
  const usable = Math.max(1, input.connectionLimit - controlReserve(input));
  return Math.min(usable, 2 * equalShare(input));
};

/** A share that a target's refusals correct. */
export interface ConnectionShare {
  /** Connections that may be open now. */
  current(): number;
  /** The equal part: what is idle beyond it is closed soon. */
  equal(): number;
  /** The target refused a connection while so many were open here. */
  refused(openConnections: number): void;
  /** The limit or the number of proxies changed. */
  update(input: ShareInput): void;
}

/** How long a corrected share stays before it is raised by one. */
export const SHARE_RECOVERY: Milliseconds = 2_000;

/** Creates a share without correction. */
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
      raiseAt += SHARE_RECOVERY;
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
      raiseAt = timer.now() + SHARE_RECOVERY;
    },
    update(newInput) {
      input = newInput;
    },
  };
}
