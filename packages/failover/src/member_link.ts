/** Types of the control connection to one member. */
import type {Member} from '@kelpstep/manifest';
import type {Method, TargetStatus} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/**
 * `connecting`: the first attempt to connect has not ended yet. `open`: the
 * member responds. `silent`: the connection broke or is unresponsive, and a new
 * one is being tried. `lost`: the new connection has failed too.
 */
export type LinkCondition = 'connecting' | 'open' | 'silent' | 'lost';

/**
 * `refused`: no process listens at the address. `exhausted`: the target runs
 * but reported that its connection limit is reached. `unanswered`: any other
 * cause.
 */
export type LossReason = 'refused' | 'exhausted' | 'unanswered';

/** Control connection to one member; it is reopened until `close`. */
export interface MemberLink {
  readonly member: Member;
  condition(): LinkCondition;
  /** Why the last new connection failed; set while the member is lost. */
  lossReason(): LossReason | undefined;
  /** The last status received, of whatever age. */
  status(): TargetStatus | undefined;
  /** Monotonic time of the last status; -Infinity if there is none. */
  statusAt(): Milliseconds;
  /** Monotonic time since which the member has not been lost. */
  reachableSince(): Milliseconds;
  /** Monotonic time of the first status from the target's present process. */
  incarnationSince(): Milliseconds;
  /** Sends a request; fails immediately if there is no connection. */
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /**
   * Requests the status. An answer is processed like a status of the stream.
   */
  probe(timeout: Milliseconds): Future<Result<TargetStatus, RequestFailure>>;
  /**
   * Checks the connection now: if nothing has arrived in the last two
   * heartbeats, a new connection is opened.
   */
  suspect(): void;
  /** Switches between stream and probes if the probe interval requires it. */
  applyProbeInterval(): void;
  close(): void;
}
