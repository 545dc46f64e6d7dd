/** Faults and inspection of a database in the same process. */
import type {
  LogRecord,
  Rows,
  Statement,
  TargetStatus,
} from '@kelpstep/protocol';

import type {DatabaseConfiguration} from './database_settings';

/** Counts of what a database does now. */
export interface DatabaseStatistics {
  readonly connections: number;
  readonly busySlots: number;
  readonly waiting: number;
  readonly transactions: number;
  /** Answers to `target.execute` so far, good or bad. */
  readonly executions: number;
}

/** Faults and inspection, in process. */
export interface DatabaseControl {
  /** Changes settings and faults; what is absent stays. */
  configure(change: DatabaseConfiguration): void;
  /** Pauses it, as if the process were stopped. */
  freeze(): void;
  thaw(): void;
  status(): TargetStatus;
  /** The records of its log. */
  records(): LogRecord[];
  /** Reads its data past all slots and faults; no rows if it can't. */
  inspect(statement: Statement): Rows;
  statistics(): DatabaseStatistics;
}
