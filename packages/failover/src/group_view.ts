/** What the request path sees of a group. */
import type {Member} from '@kelpstep/manifest';
import type {LogPosition, TargetRole, TermHistory} from '@kelpstep/protocol';
import type {Future, Milliseconds, Unsubscribe} from '@kelpstep/runtime';

/** The primary of a term. */
export interface Leadership {
  readonly term: number;
  /** Member id. */
  readonly primary: string;
}

/** A member as last seen. */
export interface MemberView {
  readonly member: Member;
  /** False while its control connection is down or silent. */
  readonly reachable: boolean;
  readonly role: TargetRole | undefined;
  readonly end: LogPosition;
  readonly history: TermHistory;
  /**
   * Monotonic time T such that the member holds all that was confirmed at T;
   * `undefined` if there is no such bound. The age of its data is at most
   * `now - freshAt`.
   */
  readonly freshAt: Milliseconds | undefined;
  /** True if manifest or platform call it leaving: gets no new work. */
  readonly leaving: boolean;
}

/** What became of a record that waits for its confirmation. */
export type Confirmation =
  /** A majority holds the record in a history that can't be replaced. */
  | 'confirmed'
  /** A newer term's barrier is confirmed and its log lacks the record. */
  | 'superseded'
  /** Not known by the deadline. */
  | 'undecided';

/**
 * A group as one proxy sees it. A group that is used follows the positions of
 * its members as streams; an idle one costs nothing.
 */
export interface GroupView {
  readonly group: string;
  /** Tells that requests use the group; keeps the streams open for a while. */
  touch(): void;
  /** The primary of the highest known term, if its barrier is confirmed. */
  leadership(): Leadership | undefined;
  /** All members of the manifest in force. */
  members(): readonly MemberView[];
  /** The highest record known to be confirmed. */
  confirmed(): LogPosition;
  /** True if the member's log holds the record. */
  holds(memberId: string, wanted: LogPosition): boolean;
  /**
   * The latest known monotonic time T such that a log that ends at `end`
   * holds all that was confirmed at T; `undefined` if there is none. For an
   * answer read at `end`, this bounds the age whoever gave it.
   */
  freshAt(end: LogPosition): Milliseconds | undefined;
  /** Waits until the record's fate is known, or a monotonic deadline. */
  confirmation(
    wanted: LogPosition,
    deadline: Milliseconds,
  ): Future<Confirmation>;
  /**
   * Starts or joins a round that asks a majority for its term, sent after this
   * call. Settles with the log position up to which a read must see to miss
   * nothing that was confirmed before this call; `undefined` if no round
   * succeeds by the monotonic deadline.
   */
  readBarrier(deadline: Milliseconds): Future<LogPosition | undefined>;
  /** Settles when a leadership is known, or undefined at the deadline. */
  awaitLeadership(deadline: Milliseconds): Future<Leadership | undefined>;
  /** Reports a higher term that a reply showed. */
  observeTerm(term: number): void;
  /** Reports that a request to a member failed for want of an answer. */
  observeSilence(memberId: string): void;
  /** Calls the listener after each change of leadership or members. */
  onChange(listener: () => void): Unsubscribe;
}
