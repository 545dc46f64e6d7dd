/** Measures how long a starting proxy takes to have a copy of each table. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';

/** Time until all tables were received for the first time. */
export interface FirstTables {
  /** Records that a copy of a table was received. */
  record(table: string): void;
  /** Time from the creation to the last first copy; undefined before. */
  after(): Milliseconds | undefined;
}

/** Starts to measure; no table has been received. */
export function createFirstTables(
  timer: TimerService,
  tables: readonly string[],
): FirstTables {
  const startedAt = timer.now();
  const missing = new Set(tables);
  let completeAfter: Milliseconds | undefined;

  return {
    record(table) {
      missing.delete(table);
      if (missing.size === 0) {
        completeAfter ??= timer.now() - startedAt;
      }
    },
    after: () => completeAfter,
  };
}
