/** Tells from the rows of successions which primaries may be used. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {KnownSuccession, Succession} from '@kelpstep/succession';
import type {Leadership} from '@kelpstep/targets';

export interface PrimaryChangesOptions {
  readonly timer: TimerService;
  /** The last known succession of a group. */
  row(group: string): KnownSuccession | undefined;
  /** The newest leadership of a group that this proxy knows. */
  leadership(group: string): Leadership | undefined;
  /** End of the log that the target last reported to have received. */
  receivedEnd(group: string, target: string): LogPosition | undefined;
  /** Time since the rows were known to be up to date. */
  rowAge(): Milliseconds;
}

export interface PrimaryChanges {
  /** True while the group's primary is being replaced. */
  isPrimaryChanging(group: string): boolean;
  /**
   * True if the promotion of another target is ordered, or was in the same
   * change: commits that this target acknowledges may be lost when the order
   * takes effect.
   */
  isSuperseded(group: string, target: string): boolean;
}

/**
 * How long a succession without a promotion order counts as in progress after
 * the last change of its row: other proxies don't take it over before.
 */
const SUCCESSION_ROW_TIMEOUT_MS: Milliseconds = 2500;

export function createPrimaryChanges(
  options: PrimaryChangesOptions,
): PrimaryChanges {
  const {timer} = options;

  /**
   * Returns the pending change of a group: a promotion is ordered and may take
   * effect at any time. Undefined once its target leads, or if another one leads
   * a newer term and the copy of the row may be out of date.
   */
  function findPendingChange(group: string): Succession | undefined {
    const change = options.row(group)?.succession;
    if (change?.phase !== 'ordered') {
      return undefined;
    }
    const leadership = options.leadership(group);
    const hasNewTerm =
      leadership !== undefined && leadership.term > (change.term ?? 0);
    const isRowOld = options.rowAge() > SUCCESSION_ROW_TIMEOUT_MS;
    const isInEffect =
      leadership?.target === change.target &&
      change.contested !== true &&
      !hasLostLog(group, change);
    const isOver = hasNewTerm && (isInEffect || isRowOld);
    return isOver ? undefined : change;
  }

  /** True if the ordered target leads without the log for which it was chosen. */
  function hasLostLog(group: string, {target, targetEnd}: Succession): boolean {
    const end = options.receivedEnd(group, target);
    return (
      end !== undefined &&
      targetEnd !== undefined &&
      compareLogPositions(end, targetEnd) < 0
    );
  }

  return {
    isPrimaryChanging(group) {
      const row = options.row(group);
      const isStopping =
        row?.succession.phase === 'stopping' &&
        timer.now() - row.observedAt < SUCCESSION_ROW_TIMEOUT_MS;
      return isStopping || findPendingChange(group) !== undefined;
    },
    isSuperseded(group, target) {
      const change = findPendingChange(group);
      return (
        change !== undefined &&
        (change.target !== target || change.contested === true)
      );
    },
  };
}
