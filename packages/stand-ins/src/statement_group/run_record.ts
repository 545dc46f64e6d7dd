/** Records what targets executed, so that tests can check the proxies. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** A statement that a target executed. */
export interface StatementRun {
  readonly kind: 'read' | 'write' | 'commit';
  readonly id: string;
  readonly target: string;
  readonly group: string;
  /** User of the connection; undefined if the proxy opened it for itself. */
  readonly user: string | undefined;
  readonly at: Milliseconds;
  /** End of the applied log when the statement ran. */
  readonly position: LogPosition;
  /** Session values of the connection. */
  readonly values: ReadonlyMap<string, string>;
  /**
   * Access (read or write) and shape of the prepared statement, separated by a
   * space; undefined for a plain statement.
   */
  readonly shape: string | undefined;
  /** Number of the connection's session at the target. */
  readonly connection: number;
  /** Number of the transaction; undefined outside a transaction. */
  readonly transaction: number | undefined;
}

/** A committed record in a target's log. */
export interface LogRecord {
  readonly position: LogPosition;
  /** Ids of the callers' write statements in this record. */
  readonly writes: readonly string[];
}

/** A promotion of a target to primary. */
export interface PromotionRecord {
  readonly group: string;
  readonly target: string;
  readonly epoch: number;
  /** Holder of the epoch, which ordered the promotion. */
  readonly holder: string;
  /** Log of the new primary at the promotion. */
  readonly log: readonly LogRecord[];
  readonly at: Milliseconds;
}

/** Callbacks for executed statements and for promotions of targets. */
export interface RunRecorder {
  onRun(run: StatementRun): void;
  onPromotion(promotion: PromotionRecord): void;
}
