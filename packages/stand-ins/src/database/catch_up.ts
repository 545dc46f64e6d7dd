/**
 * Tracks whether a database that started empty has caught up with its primary.
 * Until then it may lack records and fences that it acknowledged before its
 * process restarted.
 */

/** Catch-up progress of a database that started empty. */
export interface CatchUp {
  /** Restarts the progress when the database starts to follow a primary. */
  join(): void;
  /** Reports the end of the primary's log, as given in a replication answer. */
  observePrimaryEnd(position: number): void;
  /** Ends the catch-up because the database became primary itself. */
  becomePrimary(): void;
  /**
   * True until `position`, the end of the database's log, has reached the first
   * end that the followed primary reported, or the database has become primary.
   */
  isCatchingUp(position: number): boolean;
}

/** Creates the catch-up progress of a database that has just started. */
export function createCatchUp(): CatchUp {
  let isDone = false;
  let requiredPosition: number | undefined;
  return {
    join() {
      requiredPosition = undefined;
    },
    observePrimaryEnd(position) {
      requiredPosition ??= position;
    },
    becomePrimary() {
      isDone = true;
    },
    isCatchingUp(position) {
      isDone ||= requiredPosition !== undefined && position >= requiredPosition;
      return !isDone;
    },
  };
}
