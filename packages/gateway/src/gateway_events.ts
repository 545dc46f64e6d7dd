/** Events of a gateway, for logs and metrics. */
import type {Milliseconds} from '@kelpstep/runtime';
import type {StatementErrorName} from '@kelpstep/statements';

/** Outcome of one request, and what led to it. */
export interface RequestEnd {
  readonly id: string;
  readonly group: string;
  /** Client account of the caller; empty if it has none. */
  readonly account: string;
  /** Freshness of the route and kind of the statement. */
  readonly kind: string;
  readonly outcome: 'ok' | StatementErrorName;
  /** Target that answered last; empty if none did. */
  readonly target: string;
  readonly attempts: number;
  /**
   * Peer that ran the request or, if `kind` starts with `relayed`, the peer
   * that sent it; empty if neither.
   */
  readonly via: string;
  readonly duration: Milliseconds;
  /** Last failure that led to the outcome; empty if there was none. */
  readonly reason: string;
  /** True if it writes, or commits writes. */
  readonly isWrite?: boolean;
  /** True if the caller was gone before the answer. */
  readonly isUndelivered?: boolean;
}

/**
 * How a statement was placed that this proxy gave to connection owners: run by
 * the `first` owner that was asked, or by an `other` one, after it `waited` at
 * an owner, or `refused` as no owner could start it in time.
 */
export type PlacementOutcome = 'first' | 'other' | 'waited' | 'refused';

/** Receives the outcomes of requests and the changes of sessions. */
export interface GatewayEvents {
  onRequestEnd(end: RequestEnd): void;
  onPlacement(outcome: PlacementOutcome): void;
  onSession(event: 'opened' | 'refused' | 'closed', database: string): void;
}
