/**
 * Tells whether the last primary, which leads no more, is still waited for. It may
 * hold the only copies of commits, and targets that crashed come back with their
 * log, under an entry that had expired meanwhile.
 */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {TargetGroup} from '@kelpstep/targets';

import type {KnownCopyRecord} from './copy_record';
import type {VersionedSuccession} from './succession_records';

export interface AbsentPrimaryOptions {
  readonly timer: TimerService;
  readonly group: TargetGroup;
  row(): VersionedSuccession | undefined;
  copyRecord(): KnownCopyRecord | undefined;
}

/** The newest primary that this proxy or the group's rows know, and its term. */
export interface LastPrimary {
  readonly target: string;
  readonly term: number;
}

export interface AbsentPrimary {
  /** Undefined if none is known. */
  last(): LastPrimary | undefined;
  /** To be called repeatedly, as absences are timed from the first call on. */
  observe(): void;
  /**
   * Remaining time for which the last primary is waited for: Infinity while it
   * leads, 0 once the wait is over or if none is known.
   */
  remainingWait(): Milliseconds;
  /** True while the last primary leads or is waited for. */
  isAwaited(): boolean;
}

/**
 * Time for which a group with commits that may have no other copy waits for its
 * last primary, whether that is silent or answers without leading. Without a
 * primary nothing is written; one that promotes a replica loses these commits for
 * good.
 */
const PATIENCE_MS: Milliseconds = 10_000;

/** Creates an observer of the last primary of a group. */
export function createAbsentPrimary(
  options: AbsentPrimaryOptions,
): AbsentPrimary {
  const {timer, group} = options;
  let absent: {readonly target: string; readonly since: Milliseconds} = {
    target: '',
    since: Infinity,
  };

  function last(): LastPrimary | undefined {
    const row = options.row()?.succession;
    const record = options.copyRecord()?.record;
    const target = row?.phase === 'done' ? row.target : row?.from;
    const named: Array<LastPrimary | undefined> = [
      group.positions.leader(),
      target && row?.term !== undefined ? {target, term: row.term} : undefined,
      record && {target: record.primary, term: record.term},
    ];
    return named.reduce(
      (newest, next) =>
        (next?.term ?? -1) > (newest?.term ?? -1) ? next : newest,
      undefined,
    );
  }

  function isLeading(target: string): boolean {
    return (
      group.positions.leader()?.target === target &&
      group.link(target)?.isReached() === true
    );
  }

  function observe(): void {
    const target = last()?.target ?? '';
    if (target === '' || isLeading(target)) {
      absent = {target: '', since: Infinity};
    } else if (absent.target !== target) {
      absent = {target, since: timer.now()};
    }
  }

  function remainingWait(): Milliseconds {
    observe();
    const waited = timer.now() - absent.since;
    return last() === undefined ? 0 : Math.max(0, PATIENCE_MS - waited);
  }

  return {
    last,
    observe,
    remainingWait,
    isAwaited: () => remainingWait() > 0,
  };
}
