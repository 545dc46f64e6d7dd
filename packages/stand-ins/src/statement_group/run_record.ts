/** What targets saw and did; a checker judges proxies by it. */
import type {LogPosition} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';

/** A statement that a target ran. */
export interface StatementRun {
  readonly kind: 'read' | 'write' | 'commit';
  readonly id: string;
  readonly target: string;
  readonly group: string;
  /** Who the connection was opened for; undefined: a proxy itself. */
  readonly user: string | undefined;
  readonly at: Milliseconds;
  /** End of the applied log that the statement saw. */
  readonly position: LogPosition;
  /** Values of the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** What a prepared name stood for; undefined for plain statements. */
  readonly shape: string | undefined;
  /** Connection and, inside a transaction, the transaction on it. */
  readonly connection: number;
  readonly transaction: number | undefined;
}

/** A commit in a target's log. */
export interface LogRecord {
  readonly position: LogPosition;
  /** Ids of the caller's statements that it holds. */
  readonly writes: readonly string[];
}

/** A change of primary. */
export interface PromotionRecord {
  readonly group: string;
  readonly target: string;
  readonly epoch: number;
  readonly holder: string;
  readonly log: readonly LogRecord[];
  readonly at: Milliseconds;
}

/** Takes what targets saw. */
export interface RunRecorder {
  onRun(run: StatementRun): void;
  onPromotion(promotion: PromotionRecord): void;
}
