/**
 * Whether a database that started empty has caught up. Until then it may lack
 * records, and have forgotten fences, that it agreed to in an earlier life.
 */

/** Progress of a database that started empty. */
export interface CatchUp {
  /** It follows a primary, perhaps another one than before. */
  join(): void;
  /** The end of the primary's log, as one of its answers told. */
  observePrimaryEnd(position: number): void;
  /** It became primary itself. */
  lead(): void;
  /** True until its log has reached where the primary's ended at the join. */
  isCatchingUp(position: number): boolean;
}

/** Creates the progress of a database that has just started. */
export function createCatchUp(): CatchUp {
  let isDone = false;
  let goal: number | undefined;
  return {
    join() {
      goal = undefined;
    },
    observePrimaryEnd(position) {
      goal ??= position;
    },
    lead() {
      isDone = true;
    },
    isCatchingUp(position) {
      isDone ||= goal !== undefined && position >= goal;
      return !isDone;
    },
  };
}
