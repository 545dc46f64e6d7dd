/** The control connection to one member, as other parts use it. */
import type {Member} from '@kelpstep/manifest';
import type {Method, TargetStatus} from '@kelpstep/protocol';
import type {RequestFailure} from '@kelpstep/rpc';
import type {Future, Milliseconds} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

/**
 * `connecting`: not yet known. `open`: the stream is heard. `silent`: it is
 * not, and a fresh connection is being tried. `lost`: that failed as well.
 */
export type LinkCondition = 'connecting' | 'open' | 'silent' | 'lost';

/**
 * `refused`: nobody listens at the address. `exhausted`: it answered that its
 * connections are used up, hence it lives. `unanswered`: anything else.
 */
export type LossReason = 'refused' | 'exhausted' | 'unanswered';

/** The control connection to one member. */
export interface MemberLink {
  readonly member: Member;
  condition(): LinkCondition;
  /** Why the last fresh connection failed, while the member is lost. */
  lossReason(): LossReason | undefined;
  /** The last status that arrived, perhaps long ago. */
  status(): TargetStatus | undefined;
  /** Monotonic time of the last status; -Infinity without one. */
  statusAt(): Milliseconds;
  /** Monotonic time since when the member has not been lost. */
  reachableSince(): Milliseconds;
  /** Monotonic time at which the process now at the address was first seen. */
  incarnationSince(): Milliseconds;
  /** Sends a request; fails at once without a connection. */
  request<P, R>(
    method: Method<P, R>,
    parameters: P,
    timeout: Milliseconds,
  ): Future<Result<R, RequestFailure>>;
  /** Asks for the status; an answer counts like one of the stream. */
  ask(timeout: Milliseconds): Future<Result<TargetStatus, RequestFailure>>;
  /** Tries a fresh connection now, unless the stream was just heard. */
  suspect(): void;
  close(): void;
}
