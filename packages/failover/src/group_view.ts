/**
 * Interface between requests and the failover of a group: leadership, members
 * and confirmed records.
 */
import type {Member} from '@kelpstep/manifest';
import type {LogPosition, TargetRole, TermHistory} from '@kelpstep/protocol';
import type {Future, Milliseconds, Unsubscribe} from '@kelpstep/runtime';

/** The primary of a term. */
export interface Leadership {
  readonly term: number;
  /** Member id of the primary. */
  readonly primary: string;
}

/** Last known state of a member; a member without a status has an empty log. */
export interface MemberView {
  readonly member: Member;
  /** False while the control connection is down or unresponsive. */
  readonly reachable: boolean;
  readonly role: TargetRole | undefined;
  readonly end: LogPosition;
  readonly history: TermHistory;
  /**
   * A monotonic time T such that the member holds every record confirmed at T;
   * `undefined` if no such time is known. The age of the member's data is at
   * most `now - freshAt`.
   */
  readonly freshAt: Milliseconds | undefined;
  /**
   * True if the manifest or the platform marks the member as leaving. It is
   * given no new requests.
   */
  readonly leaving: boolean;
}

/** The result of waiting for a record to be confirmed. */
export type Confirmation =
  /** A majority holds the record; no later primary can lack it. */
  | 'confirmed'
  /** The barrier of a newer term is confirmed and its log lacks the record. */
  | 'superseded'
  /** Neither was known by the deadline. */
  | 'undecided';

/**
 * One proxy's view of a group. While requests use the group, its members
 * stream their log positions; the streams of an idle group are closed.
 */
export interface GroupView {
  readonly group: string;
  /** Marks the group as in use, which opens its streams or keeps them open. */
  touch(): void;
  /** The primary of the highest known term if its barrier is confirmed. */
  leadership(): Leadership | undefined;
  /** All members of the group's configuration and of the manifest in force. */
  members(): readonly MemberView[];
  /** The highest record known to be confirmed. */
  confirmed(): LogPosition;
  /** True if the member's log, as last reported, holds the record. */
  holds(memberId: string, record: LogPosition): boolean;
  /**
   * The latest known monotonic time T such that a log ending at `end` holds
   * every record confirmed at T; `undefined` if none is known. It bounds the
   * age of an answer read at `end`, whichever member gave the answer.
   */
  freshAt(end: LogPosition): Milliseconds | undefined;
  /**
   * Settles once the record is confirmed or superseded, or with `undecided` at
   * the monotonic deadline.
   */
  confirmation(
    record: LogPosition,
    deadline: Milliseconds,
  ): Future<Confirmation>;
  /**
   * Settles with the log position that a read must have reached to include
   * every record confirmed before this call. For this the members' terms are
   * probed after the call; concurrent calls share a round of probes. Settles
   * with `undefined` if no round succeeds by the monotonic deadline.
   */
  readBarrier(deadline: Milliseconds): Future<LogPosition | undefined>;
  /**
   * Settles when a leadership is known, or with `undefined` at the monotonic
   * deadline.
   */
  awaitLeadership(deadline: Milliseconds): Future<Leadership | undefined>;
  /**
   * Reports a term from a reply. A leadership of a lower term is not returned
   * until a round of probes has succeeded.
   */
  observeTerm(term: number): void;
  /**
   * Reports that a member did not answer a request, which starts a check of its
   * control connection.
   */
  reportUnresponsive(memberId: string): void;
  /**
   * Calls the listener when the leadership, or the reachability, role, term or
   * followed primary of a member, has changed.
   */
  onChange(listener: () => void): Unsubscribe;
}
