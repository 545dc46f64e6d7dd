/** What a gateway tells of its decisions, for logs and metrics. */
import type {Milliseconds} from '@kelpstep/runtime';
import type {StatementErrorName} from '@kelpstep/statements';

/** The end of a request. */
export interface RequestEnd {
  readonly id: string;
  readonly group: string;
  /** Client account of the caller; empty if it has none. */
  readonly account: string;
  /** Freshness of its route and what it was. */
  readonly kind: string;
  readonly outcome: 'ok' | StatementErrorName;
  /** Target that answered last; empty if none did. */
  readonly target: string;
  readonly attempts: number;
  /**
   * Proxy that ran it for this one, or, for a kind that starts with `relayed`,
   * the one that sent it; empty if neither.
   */
  readonly via: string;
  readonly duration: Milliseconds;
  /** What decided it: the last step that went wrong, or empty. */
  readonly reason: string;
}

/** Takes a gateway's events. */
export interface GatewayEvents {
  onRequestEnd(end: RequestEnd): void;
  onSession(event: 'opened' | 'refused' | 'closed', database: string): void;
}
