/** Faults and inspection of a database in the same process. */
import type {
  LogRecord,
  Rows,
  Statement,
  TargetStatus,
} from '@kelpstep/protocol';

import type {DatabaseConfiguration} from './database_settings';

/** Current counts of a database. */
export interface DatabaseStatistics {
  readonly connections: number;
  readonly busySlots: number;
  readonly waiting: number;
  readonly transactions: number;
  /** Calls of `target.execute` answered so far, successful or not. */
  readonly executions: number;
}

/** Controls and inspects a database within the same process. */
export interface DatabaseControl {
  /** Changes settings and faults; absent fields keep their value. */
  configure(change: DatabaseConfiguration): void;
  /** Pauses the database, as SIGSTOP does with a process. */
  freeze(): void;
  thaw(): void;
  status(): TargetStatus;
  /** Returns all applied records of the log. */
  records(): LogRecord[];
  /**
   * Runs a read statement on the committed data without slots or faults.
   * Returns no rows if the statement fails.
   */
  inspect(statement: Statement): Rows;
  statistics(): DatabaseStatistics;
}
